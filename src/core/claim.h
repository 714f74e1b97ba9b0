#ifndef CORE_CLAIM_H
#define CORE_CLAIM_H

#include "core/record.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct claim - who owns a shard, by the log
 * @known: some record of the shard was read
 * @epoch: number of claims that were won
 * @owner: incarnation of the owner, 0 for none
 * @owner_host: name_hash() of the owner's host
 * @previous_owner: owner that the claim in force replaced, 0 when there was
 * none or it had released, or CLAIM_OWNER_UNKNOWN
 * @previous_host: name_hash() of that owner's host
 * @last_seq: newest batch of the owner that was taken
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
 * CLAIM_OWNER_UNKNOWN - an owner whose claim the log has forgotten
 */
#define CLAIM_OWNER_UNKNOWN UINT64_MAX

enum claim_outcome {
	CLAIM_VOID, /* the record changes nothing */
	CLAIM_WON,
	CLAIM_RELEASED,
	CLAIM_MARKED,
};

/**
 * is_ownership_record() - true for records that speak of a shard's owner
 */
bool is_ownership_record(const struct record *r);

/**
 * claim_apply() - take in a claim, release or mark, in log order
 *
 * The first claim that names the epoch in force wins.
 */
enum claim_outcome claim_apply(struct claim *c, const struct record *r);

/**
 * claim_accept_batch() - true when the job records of a batch count
 *
 * They are the owner's, written under the epoch in force, and not a copy.
 */
bool claim_accept_batch(struct claim *c, const struct batch *b);

#ifdef __cplusplus
}
#endif

#endif
