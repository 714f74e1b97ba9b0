#ifndef CORE_PROTECTION_H
#define CORE_PROTECTION_H

/**
 * enum protection - mechanisms that uphold the invariants
 * @PROTECT_FENCE: an order to a worker carries the fencing epoch
 * @PROTECT_INVENTORY: a worker's inventory is read before it gets a task
 * @PROTECT_INTENT: a start waits until its start record is confirmed
 * @PROTECT_FRESH_READ: a start needs a recent read of the log
 * @PROTECT_DEDUP: an idempotency key is accepted once
 * @PROTECT_EPOCH: records of a former owner are void
 * @PROTECT_PROOF: another attempt needs proof that the last one is over
 * @PROTECT_CAS: a document must directly follow the version in force
 * @PROTECT_SNAPSHOT: a snapshot never lowers a version
 * @PROTECT_CLAIM_BACKOFF: after another owner's claim won, the shard is not
 *                         claimed for a while
 *
 * Each can be switched off on its own, so that the fault tests can show that
 * their checks detect its absence. All are on in every program.
 */
enum protection {
	PROTECT_FENCE = 1 << 0,
	PROTECT_INVENTORY = 1 << 1,
	PROTECT_INTENT = 1 << 2,
	PROTECT_FRESH_READ = 1 << 3,
	PROTECT_DEDUP = 1 << 4,
	PROTECT_EPOCH = 1 << 5,
	PROTECT_PROOF = 1 << 6,
	PROTECT_CAS = 1 << 7,
	PROTECT_SNAPSHOT = 1 << 8,
	PROTECT_CLAIM_BACKOFF = 1 << 9,
	PROTECT_ALL = (1 << 10) - 1,
};

#endif
