#ifndef CORE_PROTECTION_H
#define CORE_PROTECTION_H

/**
 * enum protection - what keeps the invariants
 *
 * Each can be switched off by itself, to show that the checks of the fault
 * matrix notice. All are on in every program.
 */
enum protection {
	PROTECT_FENCE = 1 << 0,      /* orders carry the epoch */
	PROTECT_INVENTORY = 1 << 1,  /* read the worker before placing on it */
	PROTECT_INTENT = 1 << 2,     /* a start waits for its record */
	PROTECT_FRESH_READ = 1 << 3, /* a start needs a fresh read of the log */
	PROTECT_DEDUP = 1 << 4,      /* a key is accepted once */
	PROTECT_EPOCH = 1 << 5,      /* records of an old owner are void */
	PROTECT_PROOF = 1 << 6,      /* a next attempt needs proof */
	PROTECT_CAS = 1 << 7,        /* a document follows its own version */
	PROTECT_SNAPSHOT = 1 << 8,   /* a snapshot never lowers a version */
	PROTECT_CLAIM_BACKOFF = 1 << 9, /* another's claim is let be a while */
	PROTECT_ALL = (1 << 10) - 1,
};

#endif
