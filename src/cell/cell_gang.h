#ifndef CELL_CELL_GANG_H
#define CELL_CELL_GANG_H

#include "cell/cell_types.h"

/**
 * cell_place_gang() - place all tasks of a gang, or none
 */
void cell_place_gang(struct cell *c, struct cell_step *st, uint64_t service);

#endif
