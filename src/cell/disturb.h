#ifndef CELL_DISTURB_H
#define CELL_DISTURB_H

#include "base/buf.h"
#include "cell/load_curve.h"
#include "base/index.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DISTURB_NEIGHBOURS_MAX 32

/**
 * struct disturb_neighbour - filling tasks of one image on a worker
 * @image: name_hash() of the image
 * @share: processor they use, as a share of the worker's
 */
struct disturb_neighbour {
	uint64_t image;
	double share;
};

/**
 * struct disturb - how much filling images slow serving images, learned
 *
 * The tail latency of a queue grows as 1 / (1 - load). So the headroom of a
 * serving task, its target over its tail latency, falls in a straight line
 * with its own load and with what disturbs it: a base of the image, less for
 * each filling image beside it the effect of the pair times the share of the
 * worker's processors that the filling image uses. Below 1 it is over its
 * target. Samples of all workers are pooled by pair; each pair is followed
 * with its variance, so that few samples move a known pair little and an
 * unknown one far. What the load of a step does over time is a curve of its
 * own, so that its waves are not taken for the doing of its neighbours.
 * @periods: of the waves of all steps
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
 * disturb_curve_init() - begin the load curve of a step
 */
void disturb_curve_init(const struct disturb *d, uint64_t serving,
			struct load_curve *out);

/**
 * disturb_learn() - take in one measurement
 * @serving: name_hash() of the image that was measured
 * @curve: of the step that was measured
 * @time_s: when
 * @headroom: its target over its tail latency
 */
void disturb_learn(struct disturb *d, uint64_t serving,
		   struct load_curve *curve, double time_s, double headroom,
		   const struct disturb_neighbour *n, size_t count);

/**
 * disturb_effect() - headroom that a whole worker of @filling takes from a
 * serving image
 * @doubt: receives the standard deviation of the answer; may be NULL
 */
double disturb_effect(const struct disturb *d, uint64_t serving,
		      uint64_t filling, double *doubt);

/**
 * disturb_base() - headroom of a serving image with nothing beside it
 * @spread: receives how far the load of its own moves it; may be NULL
 */
double disturb_base(const struct disturb *d, uint64_t serving, double *spread);

/**
 * disturb_write() - all that is learned, as one record
 */
void disturb_write(const struct disturb *d, struct buf *out);

/**
 * disturb_read() - take over what another owner has learned
 *
 * Return: 0, or -EBADMSG.
 */
int disturb_read(struct disturb *d, struct str text);

#ifdef __cplusplus
}
#endif

#endif
