#include "core/msg.h"

#include <errno.h>

#define M(kind, member) FIELD_OF(kind, msg, member)
#define T(kind, member) FIELD_OF(kind, task_status, member)
#define O(kind, member) FIELD_OF(kind, owned_shard, member)

static const struct field task_rows[] = {
	T(U64, job),           T(U64, shard),      T(U32, attempt),
	T(U32, state),         T(U64, progress),   T(U64, cpu_ms),
	T(U32, movable),       T(U32, keep),       T(U32, urgency),
	T(U64, service),       T(U32, lease_ms),   T(U32, slowdown_milli),
	T(U32, res.cpu_milli), T(U32, res.mem_mb), T(U32, res.accel),
	T(U32, res.slots),     T(U32, res.conns),  T(STR, result),
};

static const struct shape task_shape = SHAPE_OF(task_rows, task_status);

static const struct field owned_rows[] = {
	O(U64, shard),  O(U64, epoch), O(U32, cpu_milli),
	O(U32, mem_mb), O(U32, accel), O(U32, slots),
};

static const struct shape owned_shape = SHAPE_OF(owned_rows, owned_shard);

static const struct field msg_rows[] = {
	M(U32, kind),
	M(U64, from),
	M(U64, corr),
	M(U64, clock),
	M(U64, shard),
	M(U64, rack),
	M(U64, epoch),
	M(U64, job),
	M(U32, attempt),
	M(U64, worker),
	M(U64, boot),
	M(U32, state),
	M(U32, reason),
	M(U32, verdict),
	M(I64, deadline_ms),
	M(I64, lease_ms),
	M(I64, run_ms),
	M(U64, worker_clock_ms),
	M(U64, not_after_ms),
	M(U64, measured_ms),
	M(U32, speed),
	M(U64, progress),
	M(U64, cpu_ms),
	M(U32, movable),
	M(U32, keep),
	M(U32, keep_only),
	M(U32, full),
	M(U32, urgency),
	M(U32, draining),
	M(U32, leaving),
	M(U32, current),
	M(U64, config),
	M(U32, res.cpu_milli),
	M(U32, res.mem_mb),
	M(U32, res.accel),
	M(U32, res.slots),
	M(U32, res.conns),
	M(NAME, service),
	M(NAME, key),
	M(NAME, name),
	M(NAME, zone),
	M(STR, payload),
	M(STR, result),
	FIELD_LIST_OF(msg, owned, &owned_shape),
	FIELD_LIST_OF(msg, tasks, &task_shape),
};

const struct shape msg_shape = SHAPE_OF(msg_rows, msg);

void resources_add(struct resources *to, const struct resources *r)
{
	to->cpu_milli += r->cpu_milli;
	to->mem_mb += r->mem_mb;
	to->accel += r->accel;
	to->slots += r->slots;
	to->conns += r->conns;
}

void resources_sub(struct resources *from, const struct resources *r)
{
	from->cpu_milli -= r->cpu_milli;
	from->mem_mb -= r->mem_mb;
	from->accel -= r->accel;
	from->slots -= r->slots;
	from->conns -= r->conns;
}

const char *msg_kind_name(uint32_t kind)
{
	static const char *const names[] = {
#define MSG_NAME(sym, name, help) [MSG_##sym] = name,
		MSG_ROWS(MSG_NAME)
#undef MSG_NAME
	};

	return kind < MSG_KIND_MAX ? names[kind] : "unknown";
}

const char *task_state_name(uint32_t state)
{
	static const char *const names[] = {
		[TASK_NONE] = "none",
		[TASK_REFUSED] = "refused",
		[TASK_RUNNING] = "running",
		[TASK_FINISHED] = "finished",
		[TASK_FAILED] = "failed",
		[TASK_STOPPED] = "stopped",
		[TASK_NOT_STARTED] = "not_started",
		[TASK_GONE] = "gone",
		[TASK_LOST] = "lost",
	};

	return state <= TASK_LOST ? names[state] : "unknown";
}

bool task_state_is_terminal(uint32_t state)
{
	return state >= TASK_FINISHED && state <= TASK_LOST;
}

void msg_pack(const struct msg *m, struct buf *out)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	shape_pack(&msg_shape, m, &pk);
	buf_add(out, sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
}

int msg_unpack(const char *data, size_t len, struct msg *m, struct arena *a)
{
	struct str text = {data, len};

	memset(m, 0, sizeof(*m));
	if (shape_read(&msg_shape, text, m, a) || m->kind >= MSG_KIND_MAX)
		return -EBADMSG;
	return 0;
}

uint64_t attempt_id(uint64_t job, uint32_t attempt)
{
	uint64_t z = job + (uint64_t)attempt * 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 29)) * 0xbf58476d1ce4e5b9ULL;
	z ^= z >> 32;
	return z ? z : 1;
}
