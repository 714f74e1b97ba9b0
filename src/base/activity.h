#ifndef BASE_ACTIVITY_H
#define BASE_ACTIVITY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What the event loop spends its time on: symbol, name in metrics and in the
 * log. "io" is everything between waiting and the callbacks, mostly the HTTP
 * client.
 */
#define ACTIVITY_ROWS(X)      \
	X(WAIT, "wait")       \
	X(IO, "io")           \
	X(STORE, "store")     \
	X(WORKERS, "workers") \
	X(PEERS, "peers")     \
	X(RELAY, "relay")     \
	X(CALLERS, "callers") \
	X(SCHEDULE, "schedule")

enum activity {
#define ACTIVITY_ENUM(sym, name) ACTIVITY_##sym,
	ACTIVITY_ROWS(ACTIVITY_ENUM)
#undef ACTIVITY_ENUM
		ACTIVITY_COUNT,
};

/**
 * struct activity_meter - time of one thread by activity
 * @current: activity that the time since @since_ns belongs to
 * @spent_ns: nanoseconds by enum activity
 * @longest_ns: longest time between two waits since activity_take_longest()
 * @woke_ns: end of the last wait
 */
struct activity_meter {
	enum activity current;
	int64_t since_ns;
	int64_t woke_ns;
	int64_t longest_ns;
	uint64_t spent_ns[ACTIVITY_COUNT];
};

/**
 * activity_init() - start the meter; time belongs to ACTIVITY_IO
 */
void activity_init(struct activity_meter *m);

/**
 * activity_enter() - let time from now on belong to another activity
 *
 * Return: the activity before, to be restored with a second call.
 */
enum activity activity_enter(struct activity_meter *m, enum activity next);

const char *activity_name(enum activity a);

/**
 * activity_take_longest() - longest time between two waits, nanoseconds, since
 * the last call
 */
int64_t activity_take_longest(struct activity_meter *m);

#ifdef __cplusplus
}
#endif

#endif
