#ifndef CORE_LEDGER_H
#define CORE_LEDGER_H

#include "core/claim.h"
#include "core/config.h"
#include "core/job.h"

#ifdef __cplusplus
extern "C" {
#endif

#define LEDGER_OWNERS_MAX 64

/**
 * struct ledger_line - what one owner has used
 * @attempts: attempts that were over or finished
 * @cpu_ms: processor time, milliseconds
 */
struct ledger_line {
	char owner[NAME_SIZE];
	uint64_t attempts;
	uint64_t cpu_ms;
};

/**
 * struct ledger - use by owner in one job stream, or in several added up
 * @complete: all entries were read, from the first on
 *
 * Each attempt counts once: by the over or finish record that ended it. The
 * owner of the stream states the sums in bill records, so that they outlive
 * the entries they were made from.
 */
struct ledger {
	struct ledger_line lines[LEDGER_OWNERS_MAX];
	size_t count;
	bool complete;
};

/**
 * struct ledger_mismatch - first bill record that does not agree
 */
struct ledger_mismatch {
	bool found;
	uint64_t offset;
	char owner[NAME_SIZE];
	uint64_t stated_ms;
	uint64_t computed_ms;
};

void ledger_init(struct ledger *l, bool complete);

/**
 * ledger_apply() - count a record that changed its job, or a bill record
 *
 * Return: 0, or -EBADMSG for a bill record that does not agree.
 */
int ledger_apply(struct ledger *l, const struct config *cfg,
		 const struct record *r);

/**
 * ledger_replay() - read one whole job stream
 * @m: receives the first bill record that does not agree
 */
void ledger_replay(struct ledger *l, const struct config *cfg,
		   const struct log_read *r, struct ledger_mismatch *m);

/**
 * ledger_add() - add the lines of another ledger
 */
void ledger_add(struct ledger *l, const struct ledger *other);

#ifdef __cplusplus
}
#endif

#endif
