#ifndef CELL_DISTURB_H
#define CELL_DISTURB_H

#include "base/buf.h"
#include "cell/load_curve.h"
#include "base/index.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Greatest number of best-effort images taken into account on one worker. */
#define DISTURB_NEIGHBOURS_MAX 32

/**
 * struct disturb_neighbour - best-effort tasks of one image on a worker
 * @image: name_hash() of the image
 * @share: share of the worker's processors that they use
 */
struct disturb_neighbour {
	uint64_t image;
	double share;
};

/**
 * struct disturb - learned model of the interference of best-effort images with
 * latency-critical images
 * @pairs: effects of pairs of a latency-critical and a best-effort image
 * @bases: headroom of latency-critical images without neighbours
 * @list: rows of both indexes
 * @periods: periods of the load curves of all steps
 *
 * The tail latency of a queue grows as 1 / (1 - load). So the headroom of a
 * latency-critical task, its target over its tail latency, falls linearly with
 * its own load and with the interference: it is the base of the image, less,
 * for each best-effort image on the same worker, the effect of the pair times
 * the share of the worker's processors that the best-effort image uses. Below 1
 * the target is missed.
 *
 * Samples of all workers are pooled by pair. Each pair is estimated with its
 * variance, so that a few samples change a well-known pair little and an
 * unknown one much. The load of a step over time has a curve of its own, so
 * that its variation is not attributed to the neighbours.
 */
struct disturb {
	struct index pairs;
	struct index bases;
	struct disturb_row *list;
	struct load_periods periods;
};

void disturb_init(struct disturb *d);
void disturb_finish(struct disturb *d);

/**
 * disturb_curve_init() - initialise the load curve of a step from the base of
 * its image
 */
void disturb_curve_init(const struct disturb *d, uint64_t serving,
			struct load_curve *out);

/**
 * disturb_learn() - update the model with one measurement of a latency-critical
 * task
 * @serving: name_hash() of the task's image
 * @curve: load curve of the task's step
 * @time_s: time of the measurement, seconds
 * @headroom: target over tail latency
 * @n: best-effort images on the same worker, @count of them
 */
void disturb_learn(struct disturb *d, uint64_t serving,
		   struct load_curve *curve, double time_s, double headroom,
		   const struct disturb_neighbour *n, size_t count);

/**
 * disturb_effect() - headroom that @best_effort would take from @serving if it
 * used all processors of the worker
 * @stddev: receives the standard deviation of the estimate; may be NULL
 *
 * Return: the estimate; a default for a pair without samples.
 */
double disturb_effect(const struct disturb *d, uint64_t serving,
		      uint64_t best_effort, double *stddev);

/**
 * disturb_base() - headroom of a latency-critical image without neighbours
 * @stddev: receives its standard deviation, which stems from the image's own
 *	load; may be NULL
 */
double disturb_base(const struct disturb *d, uint64_t serving, double *stddev);

/**
 * disturb_write() - append the model to @out as one record
 */
void disturb_write(const struct disturb *d, struct buf *out);

/**
 * disturb_read() - load a model that a former owner has written
 *
 * Pairs and images that are known already are left as they are.
 *
 * Return: 0, or -EBADMSG.
 */
int disturb_read(struct disturb *d, struct str text);

#ifdef __cplusplus
}
#endif

#endif
