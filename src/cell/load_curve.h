#ifndef CELL_LOAD_CURVE_H
#define CELL_LOAD_CURVE_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Number of candidate periods; a curve is fitted for each. */
#define LOAD_PERIODS 18
/* Terms of a fit: level, cosine and sine. */
#define LOAD_TERMS 3

/**
 * struct load_fit - state of the Kalman filter of one curve
 * @x: level, and cosine and sine amplitudes of the oscillation
 * @p: their covariance
 */
struct load_fit {
	double x[LOAD_TERMS];
	double p[LOAD_TERMS][LOAD_TERMS];
};

/**
 * struct load_curve - headroom over time that the load of one step leaves
 * @updated_s: time of the last measurement
 *
 * The load of a service varies periodically. All tasks of a step serve the same
 * users, so one curve is fitted to the measurements of all of them, once for
 * each candidate period. The headroom that best-effort tasks take is added to a
 * measurement first.
 */
struct load_curve {
	struct load_fit fits[LOAD_PERIODS];
	double updated_s;
};

/**
 * struct load_periods - how well each candidate period fits all curves
 * @cost: negative log likelihood of recent measurements, a running average
 * @best: index of the period in use
 */
struct load_periods {
	double cost[LOAD_PERIODS];
	size_t best;
};

/**
 * load_curve_init() - initialise a curve without measurements
 * @level: expected headroom
 * @variance: variance of the headroom; level and oscillation take their prior
 *	variances from it
 */
void load_curve_init(struct load_curve *c, double level, double variance);

/**
 * load_curve_learn() - update a curve and the periods with one measurement
 * @time_s: time of the measurement, seconds
 * @headroom: measured headroom plus the headroom that best-effort tasks take
 * @variance: variance of the measurement
 */
void load_curve_learn(struct load_curve *c, struct load_periods *p,
		      double time_s, double headroom, double variance);

/**
 * load_curve_at() - estimate the headroom at a time, past or future
 * @variance: receives the variance of the estimate; may be NULL
 */
double load_curve_at(const struct load_curve *c, const struct load_periods *p,
		     double time_s, double *variance);

/**
 * load_curve_min() - least headroom to expect in a span of time
 * @stddevs: number of standard deviations to subtract from the estimates
 */
double load_curve_min(const struct load_curve *c, const struct load_periods *p,
		      double from_s, double to_s, double stddevs);

#ifdef __cplusplus
}
#endif

#endif
