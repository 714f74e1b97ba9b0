#include "base/activity.h"

#include <string.h>
#include <time.h>

#define NS_PER_S 1000000000

static const char *const names[ACTIVITY_COUNT] = {
#define ACTIVITY_NAME(sym, name) [ACTIVITY_##sym] = name,
	ACTIVITY_ROWS(ACTIVITY_NAME)
#undef ACTIVITY_NAME
};

static int64_t now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * NS_PER_S + ts.tv_nsec;
}

void activity_init(struct activity_meter *m)
{
	memset(m, 0, sizeof(*m));
	m->current = ACTIVITY_IO;
	m->since_ns = now_ns();
	m->woke_ns = m->since_ns;
}

enum activity activity_enter(struct activity_meter *m, enum activity next)
{
	enum activity before = m->current;
	int64_t now;

	if (next == before)
		return before;
	now = now_ns();
	m->spent_ns[before] += (uint64_t)(now - m->since_ns);
	m->since_ns = now;
	m->current = next;
	if (before == ACTIVITY_WAIT)
		m->woke_ns = now;
	else if (next == ACTIVITY_WAIT && now - m->woke_ns > m->longest_ns)
		m->longest_ns = now - m->woke_ns;
	return before;
}

const char *activity_name(enum activity a)
{
	return names[a];
}

int64_t activity_take_longest(struct activity_meter *m)
{
	int64_t longest = m->longest_ns;

	m->longest_ns = 0;
	return longest;
}
