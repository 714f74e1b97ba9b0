#ifndef CELL_CELL_GANG_H
#define CELL_CELL_GANG_H

#include "cell/cell_types.h"

/**
 * cell_gang_choose() - find workers for all tasks of a gang at once
 * @chosen: receives the worker of each task
 *
 * Return: whether there are.
 */
bool cell_gang_choose(struct cell *c, struct cell_step *st, uint64_t service,
		      struct cell_worker **chosen);

/**
 * cell_place_gang() - place all tasks of a gang, or none
 */
void cell_place_gang(struct cell *c, struct cell_step *st, uint64_t service);

#endif
