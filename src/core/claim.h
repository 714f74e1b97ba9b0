#ifndef CORE_CLAIM_H
#define CORE_CLAIM_H

#include "core/record.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct claim - ownership of a shard, as recorded in the log
 * @known: a claim or a mark of the shard was read
 * @epoch: fencing epoch, the number of claims won so far
 * @owner: incarnation of the owner, 0 when the shard has none
 * @owner_host: name_hash() of the owner's host, 0 when the shard has none
 * @previous_owner: incarnation of the owner that the claim in force replaced,
 *                  0 when there was none or it had released the shard, or
 *                  CLAIM_OWNER_UNKNOWN
 * @previous_host: name_hash() of the previous owner's host
 * @last_seq: sequence number of the newest batch accepted from the owner
 */
struct claim {
	bool known;
	uint64_t epoch;
	uint64_t owner;
	uint64_t owner_host;
	uint64_t previous_owner;
	uint64_t previous_host;
	uint64_t last_seq;
};

/**
 * CLAIM_OWNER_UNKNOWN - an owner whose claim is past the log's retention
 */
#define CLAIM_OWNER_UNKNOWN UINT64_MAX

enum claim_outcome {
	CLAIM_VOID,     /* stale or redundant record; nothing changed */
	CLAIM_WON,      /* the claimant owns the shard under a new epoch */
	CLAIM_RELEASED, /* the owner released the shard */
	CLAIM_MARKED,   /* epoch and owner were learned from a mark */
};

/**
 * is_ownership_record() - test whether a record is a claim, release or mark
 */
bool is_ownership_record(const struct record *r);

/**
 * claim_apply() - apply a claim, release or mark; called in log order
 *
 * The first claim that names the epoch in force wins. Later claims that name
 * the same epoch are void.
 */
enum claim_outcome claim_apply(struct claim *c, const struct record *r);

/**
 * claim_accept_batch() - decide whether the job records of a batch are applied
 *
 * An accepted batch advances @last_seq.
 *
 * Return: true when the owner wrote the batch under the epoch in force and the
 * batch is not a duplicate.
 */
bool claim_accept_batch(struct claim *c, const struct batch *b);

#ifdef __cplusplus
}
#endif

#endif
