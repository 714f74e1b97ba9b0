#ifndef CELL_EFFECT_MODEL_H
#define CELL_EFFECT_MODEL_H

#include "base/buf.h"
#include "cell/load_curve.h"
#include "base/index.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Greatest number of neighbours, the best-effort images on the same worker,
 * that are taken into account. */
#define EFFECT_NEIGHBOURS_MAX 32
/* Effects that are stored, the latest found first: one record of the store
 * holds 256 KB, and an effect takes up to 30 bytes. */
#define EFFECT_ROWS_STORED_MAX 8000

/**
 * struct effect_neighbour - best-effort tasks of one image on a worker
 * @image: name_hash() of the image
 * @share: share of the worker's processors that they use
 */
struct effect_neighbour {
	uint64_t image;
	double share;
};

/**
 * struct effect_model - learned model of the interference of best-effort images
 * with latency-critical images
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
struct effect_model {
	struct index pairs;
	struct index bases;
	struct effect_row *list;
	struct load_periods periods;
};

void effect_model_init(struct effect_model *m);
void effect_model_finish(struct effect_model *m);

/**
 * effect_model_curve_init() - initialise the load curve of a step from the base
 * of its image
 * @serving: name_hash() of the image
 */
void effect_model_curve_init(const struct effect_model *m, uint64_t serving,
			     struct load_curve *out);

/**
 * effect_model_learn() - update the model with one measurement of a
 * latency-critical task
 * @serving: name_hash() of the task's image
 * @curve: load curve of the task's step
 * @time_s: time of the measurement, seconds
 * @headroom: target over tail latency
 * @n: best-effort images on the same worker, @count of them
 */
void effect_model_learn(struct effect_model *m, uint64_t serving,
			struct load_curve *curve, double time_s,
			double headroom, const struct effect_neighbour *n,
			size_t count);

/**
 * effect_model_estimate() - headroom that @best_effort would take from @serving
 * if it used all processors of the worker
 * @serving: name_hash() of the latency-critical image
 * @best_effort: name_hash() of the best-effort image
 * @stddev: receives the standard deviation of the estimate; may be NULL
 *
 * Return: the estimate; a default for a pair without samples.
 */
double effect_model_estimate(const struct effect_model *m, uint64_t serving,
			     uint64_t best_effort, double *stddev);

/**
 * effect_model_base() - headroom of a latency-critical image without neighbours
 * @serving: name_hash() of the image
 * @stddev: receives its standard deviation, which stems from the image's own
 *	load; may be NULL
 */
double effect_model_base(const struct effect_model *m, uint64_t serving,
			 double *stddev);

/**
 * effect_model_write() - append the model to @out as one record
 */
void effect_model_write(const struct effect_model *m, struct buf *out);

/**
 * effect_model_read() - load a model that a former owner has written
 *
 * Pairs and images that are known already are left as they are.
 *
 * Return: 0, or -EBADMSG.
 */
int effect_model_read(struct effect_model *m, struct str text);

#ifdef __cplusplus
}
#endif

#endif
