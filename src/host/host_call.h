#ifndef HOST_HOST_CALL_H
#define HOST_HOST_CALL_H

#include "host/host.h"

#ifdef __cplusplus
extern "C" {
#endif

enum call_kind { CALL_SUBMIT, CALL_CANCEL, CALL_QUERY };

/* Largest payload of a job, in bytes. */
#define PAYLOAD_MAX 4000

/**
 * struct host_call - a caller's request that waits for the log or an append
 * @request: NULL once it is answered
 * @id: id of the job that the call is about
 * @queue: name of the job's queue
 * @account: name of the account of the caller's key; empty for none
 * @record: record to be appended to the log; empty for a query
 * @append_pending: the record is queued, or its append is in flight
 * @batch: append in flight that holds the record, or NULL
 * @may_be_stored: an append of it got no answer, so that it may be stored
 * @arrived_ms: boot time
 * @deadline_ms: boot time by which the call has to be answered
 * @retry_reason: what its caller has to wait for; read if it is told to
 * @append_next: next call in the append queue or in the same batch
 */
struct host_call {
	struct http_request *request;
	enum call_kind kind;
	uint64_t id;
	char queue[NAME_SIZE];
	char account[NAME_SIZE];
	struct buf record;
	bool append_pending;
	struct call_batch *batch;
	bool may_be_stored;
	int64_t arrived_ms;
	int64_t deadline_ms;
	enum retry_reason retry_reason;
	struct host_call *next;
	struct host_call *prev;
	struct host_call *append_next;
};

/* host_call.c */

/**
 * call_answer() - send the final answer to a call
 */
void call_answer(struct host *h, struct host_call *c, int status,
		 uint32_t retry_ms, const char *body);

/**
 * call_answer_stored() - answer a call whose effect is stored
 *
 * A submission is refused if the job of that ID belongs to another account.
 */
void call_answer_stored(struct host *h, struct host_call *c);

/**
 * call_apply_record() - apply the stored record of a call to the job view,
 * before the log shows it
 */
void call_apply_record(struct host *h, struct host_call *c);

/**
 * call_is_expiring() - whether a record that the owner has not appended is to
 * be withdrawn, so that its caller is answered in time
 */
bool call_is_expiring(const struct host *h, const struct host_call *c);

/**
 * call_refuse() - answer that a job has not been accepted, and when to come
 * back
 */
void call_refuse(struct host *h, struct host_call *c);

/* host_append.c */

/**
 * call_queue_append() - queue the record of a call for the next append
 */
void call_queue_append(struct host *h, struct host_call *c);

/**
 * call_withdraw() - take back a record that has not been sent
 *
 * Return: false when the record has been sent, so that it may be stored.
 */
bool call_withdraw(struct host *h, struct host_call *c);

/**
 * call_ask_withdrawal() - ask the owner of the cell to drop the record of a
 * call if it has not appended it
 *
 * The other calls of the same batch are queued again if it is dropped.
 */
void call_ask_withdrawal(struct host *h, struct host_call *c);

/**
 * host_append_queue_send() - append the queued records
 */
void host_append_queue_send(struct host *h);

#ifdef __cplusplus
}
#endif

#endif
