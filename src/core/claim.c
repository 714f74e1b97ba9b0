#include "core/claim.h"

bool is_ownership_record(const struct record *r)
{
	return r->kind == RECORD_CLAIM || r->kind == RECORD_RELEASE ||
	       r->kind == RECORD_MARK;
}

static enum claim_outcome apply_claim(struct claim *c, const struct record *r)
{
	if (!c->known) {
		/* Earlier records are past the log's retention. */
		c->known = true;
		c->epoch = r->epoch;
		c->owner = r->epoch ? CLAIM_OWNER_UNKNOWN : 0;
	}
	if (r->epoch != c->epoch)
		return CLAIM_VOID;
	c->epoch = r->epoch + 1;
	c->previous_owner = c->owner;
	c->previous_host = c->owner_host;
	c->owner = r->owner;
	c->owner_host = name_hash(r->name);
	c->last_seq = 0;
	return CLAIM_WON;
}

enum claim_outcome claim_apply(struct claim *c, const struct record *r)
{
	if (r->kind == RECORD_CLAIM)
		return apply_claim(c, r);
	if (r->kind == RECORD_RELEASE) {
		if (r->epoch != c->epoch || r->owner != c->owner)
			return CLAIM_VOID;
		c->owner = 0;
		c->owner_host = 0;
		return CLAIM_RELEASED;
	}
	if (c->known)
		return CLAIM_VOID;
	c->known = true;
	c->epoch = r->epoch;
	c->owner = r->owner;
	c->owner_host = name_hash(r->name);
	c->last_seq = 0;
	return CLAIM_MARKED;
}

bool claim_accept_batch(struct claim *c, const struct batch *b)
{
	if (b->epoch != c->epoch || b->writer != c->owner ||
	    b->seq <= c->last_seq)
		return false;
	c->last_seq = b->seq;
	return true;
}
