#ifndef CELL_STEP_REF_H
#define CELL_STEP_REF_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct step_ref - identifies one step of one job
 * @job: ID of the job; any value may be one
 * @occurrence: execution of a repeating job, from 0
 * @step: index of the step in the job
 */
struct step_ref {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
};

bool step_ref_equals(const struct step_ref *a, const struct step_ref *b);

#ifdef __cplusplus
}
#endif

#endif
