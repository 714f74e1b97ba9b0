#ifndef CELL_LOAD_CURVE_H
#define CELL_LOAD_CURVE_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Periods that are tried side by side. */
#define LOAD_PERIODS 18
#define LOAD_TERMS 3

/**
 * struct load_fit - one curve: level, cosine and sine of its swing
 * @x: the terms
 * @p: their covariance
 */
struct load_fit {
	double x[LOAD_TERMS];
	double p[LOAD_TERMS][LOAD_TERMS];
};

/**
 * struct load_curve - headroom that the users of one step leave over time
 *
 * The users of a service come and go in waves. All tasks of a step serve the
 * same users, so one curve is fitted to the measurements of all of them, once
 * for each of some periods; what fills beside a task is taken out before.
 * @updated_s: time of the last measurement
 */
struct load_curve {
	struct load_fit fits[LOAD_PERIODS];
	double updated_s;
};

/**
 * struct load_periods - which period fits all curves best
 * @cost: negative log likelihood of recent measurements
 */
struct load_periods {
	double cost[LOAD_PERIODS];
	size_t best;
};

/**
 * load_curve_init() - a curve before any measurement
 * @level: headroom that is expected
 * @variance: of the headroom, level and swing together
 */
void load_curve_init(struct load_curve *c, double level, double variance);

/**
 * load_curve_learn() - take in one measurement
 * @headroom: without what fills beside the task
 * @variance: of the measurement
 */
void load_curve_learn(struct load_curve *c, struct load_periods *p,
		      double time_s, double headroom, double variance);

/**
 * load_curve_at() - headroom at a time
 * @variance: receives how far it is known; may be NULL
 */
double load_curve_at(const struct load_curve *c, const struct load_periods *p,
		     double time_s, double *variance);

/**
 * load_curve_min() - the least headroom that is likely in a span of time
 * @doubts: how many standard deviations are taken off
 */
double load_curve_min(const struct load_curve *c, const struct load_periods *p,
		      double from_s, double to_s, double doubts);

#ifdef __cplusplus
}
#endif

#endif
