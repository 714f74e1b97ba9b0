#ifndef HOST_EXPLAIN_TEXT_H
#define HOST_EXPLAIN_TEXT_H

#include "cell/cell_explain.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * explain_text_write() - append an explanation as lines for an operator
 */
void explain_text_write(const struct explanation *e, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
