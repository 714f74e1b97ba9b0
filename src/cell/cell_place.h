#ifndef CELL_CELL_PLACE_H
#define CELL_CELL_PLACE_H

#include "cell/cell_types.h"

/**
 * cell_place() - run one placement pass
 */
void cell_place(struct cell *c);

#endif
