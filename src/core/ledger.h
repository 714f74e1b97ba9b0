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
 * struct ledger_line - resources used by one service owner
 * @attempts: attempts that an over or finish record ended
 * @cpu_ms: CPU time, in milliseconds
 */
struct ledger_line {
	char owner[NAME_SIZE];
	uint64_t attempts;
	uint64_t cpu_ms;
};

/**
 * struct ledger - usage per service owner in one job stream, or in several
 * @complete: every entry of the stream was read, from the first on
 *
 * Each attempt counts once, through the over or finish record that ended it.
 * The owner of the stream states the totals in bill records, so that the totals
 * outlive the retention of the entries that they sum up.
 */
struct ledger {
	struct ledger_line lines[LEDGER_OWNERS_MAX];
	size_t count;
	bool complete;
};

/**
 * struct ledger_mismatch - first bill record that differs from the totals
 * @offset: offset of the entry that holds the record
 * @stated_ms: CPU time that the record states
 * @computed_ms: CPU time computed from the entries before it
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
 * A complete ledger checks a bill record. An incomplete one adopts its totals.
 *
 * Return: 0, or -EBADMSG for a bill record that differs from the totals.
 */
int ledger_apply(struct ledger *l, const struct config *cfg,
		 const struct record *r);

/**
 * ledger_replay() - compute the ledger of one job stream
 * @r: read of the stream, from the oldest entry kept
 * @m: receives the first bill record that differs from the totals
 */
void ledger_replay(struct ledger *l, const struct config *cfg,
		   const struct log_read *r, struct ledger_mismatch *m);

/**
 * ledger_add() - add the totals of another ledger
 */
void ledger_add(struct ledger *l, const struct ledger *other);

#ifdef __cplusplus
}
#endif

#endif
