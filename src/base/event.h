#ifndef BASE_EVENT_H
#define BASE_EVENT_H

#include "base/field.h"
#include "base/lock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct event - one entry of the timeline
 * @clock: hybrid logical clock, milliseconds << 16 | counter; orders cause
 *         before effect across all processes
 * @seq: sequence number within its process, from 1
 * @process: not set in the ring; the log's process name is written out
 * @zone: not set in the ring; the log's zone is written out
 * @task: id of the job, or 0 if the event belongs to no job
 * @attempt: number of the job's attempt, or 0
 * @detail: free text, truncated if too long
 */
struct event {
	uint64_t clock;
	uint64_t seq;
	char process[NAME_SIZE];
	char zone[NAME_SIZE];
	char name[NAME_SIZE];
	uint64_t task;
	uint32_t attempt;
	char detail[NAME_SIZE * 2];
};

/* Low bits of the hybrid logical clock that hold the counter. */
#define EVENT_CLOCK_SHIFT 16

/* Number of events that a process keeps. */
#define EVENT_RING_SIZE 8192

/**
 * struct event_log - ring buffer of the newest events of one process
 * @clock: hybrid logical clock of the process
 * @next_seq: sequence number of the next event
 * @ring: EVENT_RING_SIZE events, owned by the log
 *
 * All functions but init and finish take @lock and may run on any thread.
 */
struct event_log {
	struct lock lock; /* LOCK_EVENTS */
	uint64_t clock;
	uint64_t next_seq;
	char process[NAME_SIZE];
	char zone[NAME_SIZE];
	struct event *ring;
};

void event_log_init(struct event_log *l, const char *process, const char *zone);
void event_log_finish(struct event_log *l);

/**
 * event_clock_tick() - advance the clock for a local step
 * @wall_ms: wall-clock time, milliseconds since 1970
 *
 * Return: the clock, which the caller sends with its message.
 */
uint64_t event_clock_tick(struct event_log *l, int64_t wall_ms);

/**
 * event_clock_merge() - advance the clock to that of a received message
 *
 * An older clock has no effect.
 */
void event_clock_merge(struct event_log *l, uint64_t clock);

/**
 * event_add() - append an event, overwriting the oldest if the ring is full
 * @wall_ms: wall-clock time, milliseconds since 1970
 * @task: id of the job, or 0
 * @attempt: number of the job's attempt, or 0
 */
void event_add(struct event_log *l, int64_t wall_ms, const char *name,
	       uint64_t task, uint32_t attempt, const char *detail);

/**
 * event_log_write() - append the newer events as a JSON array
 * @since: only events with a greater seq are written; 0 writes all
 *
 * Events that were overwritten are left out; the reader sees a gap in seq.
 */
void event_log_write(struct event_log *l, uint64_t since, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
