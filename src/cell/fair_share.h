#ifndef CELL_FAIR_SHARE_H
#define CELL_FAIR_SHARE_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct fair_share - one claim on a capacity
 * @weight: greater than 0
 * @demand: what it asks for, in the unit of the capacity
 * @share: what it is entitled to, at most @demand
 * @owner: of the caller
 */
struct fair_share {
	uint64_t weight;
	uint64_t demand;
	uint64_t share;
	void *owner;
};

/**
 * fair_share_divide() - divide a capacity by weight (weighted max-min)
 * @all: @count claims; sorted and their shares set
 *
 * A claim that asks for no more than its part by weight gets all it asks for;
 * what is left is divided among the others by weight, in the same way. A claim
 * of weight w is thus entitled to w of the sum of all weights, or to its
 * demand. If the demands fit in the capacity, each share is its demand.
 */
void fair_share_divide(struct fair_share *all, size_t count, uint64_t capacity);

#ifdef __cplusplus
}
#endif

#endif
