#include "cell/load_curve.h"

#include <math.h>
#include <string.h>

#define TWO_PI 6.283185307179586
/* Shortest candidate period, and the ratio of each period to the one before.
 * The drift of the terms covers periods in between; the level follows
 * oscillations that are slower than the longest one. */
#define PERIOD_FIRST_S 5.0
#define PERIOD_RATIO 1.12
/* Variance that is added to the terms per second. */
#define LEVEL_DRIFT 0.002
#define OSCILLATION_DRIFT 0.01
/* Prior variance of the level, as a share of the variance of the headroom. */
#define LEVEL_SHARE 0.15
/* Weight of a measurement in the running average of the cost of a period. */
#define COST_RATE 0.001
/* A new period must cost less than the best one by this much; without it the
 * choice would alternate between periods. */
#define COST_HYSTERESIS 0.05
/* Distance of the points at which load_curve_min() evaluates a curve. */
#define SAMPLING_STEP_S 0.4

static double period_s(size_t k)
{
	return PERIOD_FIRST_S * pow(PERIOD_RATIO, (double)k);
}

static void basis_at(size_t k, double time_s, double h[LOAD_TERMS])
{
	double angle = TWO_PI * time_s / period_s(k);

	h[0] = 1;
	h[1] = cos(angle);
	h[2] = sin(angle);
}

void load_curve_init(struct load_curve *c, double level, double variance)
{
	size_t k;

	memset(c, 0, sizeof(*c));
	for (k = 0; k < LOAD_PERIODS; k++) {
		struct load_fit *f = &c->fits[k];

		f->x[0] = level;
		f->p[0][0] = variance * LEVEL_SHARE;
		f->p[1][1] = variance;
		f->p[2][2] = variance;
	}
}

/* Return: the estimate; @gain receives p * h, @variance its variance. */
static double evaluate_fit(const struct load_fit *f, const double h[LOAD_TERMS],
			   double gain[LOAD_TERMS], double *variance)
{
	double sum = 0;
	size_t i, j;

	*variance = 0;
	for (i = 0; i < LOAD_TERMS; i++) {
		gain[i] = 0;
		for (j = 0; j < LOAD_TERMS; j++)
			gain[i] += f->p[i][j] * h[j];
		*variance += h[i] * gain[i];
		sum += f->x[i] * h[i];
	}
	return sum;
}

static void drift(struct load_fit *f, double passed_s)
{
	f->p[0][0] += LEVEL_DRIFT * passed_s;
	f->p[1][1] += OSCILLATION_DRIFT * passed_s;
	f->p[2][2] += OSCILLATION_DRIFT * passed_s;
}

/* One step of a Kalman filter. Return: its negative log likelihood. */
static double fit_learn(struct load_fit *f, const double h[LOAD_TERMS],
			double headroom, double noise)
{
	double gain[LOAD_TERMS], variance, error;
	size_t i, j;

	error = headroom - evaluate_fit(f, h, gain, &variance);
	variance += noise;
	for (i = 0; i < LOAD_TERMS; i++) {
		f->x[i] += gain[i] / variance * error;
		for (j = 0; j < LOAD_TERMS; j++)
			f->p[i][j] -= gain[i] * gain[j] / variance;
	}
	return error * error / variance + log(variance);
}

void load_curve_learn(struct load_curve *c, struct load_periods *p,
		      double time_s, double headroom, double variance)
{
	double passed = c->updated_s > 0 ? time_s - c->updated_s : 0;
	double h[LOAD_TERMS];
	size_t k, best = p->best;

	if (passed > 0)
		c->updated_s = time_s;
	else if (!(c->updated_s > 0))
		c->updated_s = time_s;
	for (k = 0; k < LOAD_PERIODS; k++) {
		double cost;

		if (passed > 0)
			drift(&c->fits[k], passed);
		basis_at(k, time_s, h);
		cost = fit_learn(&c->fits[k], h, headroom, variance);
		p->cost[k] += COST_RATE * (cost - p->cost[k]);
		if (p->cost[k] < p->cost[best] - COST_HYSTERESIS)
			best = k;
	}
	p->best = best;
}

double load_curve_at(const struct load_curve *c, const struct load_periods *p,
		     double time_s, double *variance)
{
	double h[LOAD_TERMS], gain[LOAD_TERMS], unused;

	basis_at(p->best, time_s, h);
	return evaluate_fit(&c->fits[p->best], h, gain,
			    variance ? variance : &unused);
}

double load_curve_min(const struct load_curve *c, const struct load_periods *p,
		      double from_s, double to_s, double stddevs)
{
	int points = (int)((to_s - from_s) / SAMPLING_STEP_S), i;
	double least = INFINITY;

	for (i = 0; i <= points; i++) {
		double variance;
		double at = load_curve_at(c, p, from_s + i * SAMPLING_STEP_S,
					  &variance);

		least = fmin(least, at - stddevs * sqrt(fmax(variance, 0)));
	}
	return least;
}
