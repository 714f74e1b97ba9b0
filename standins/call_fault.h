#ifndef STANDINS_CALL_FAULT_H
#define STANDINS_CALL_FAULT_H

#include "base/rng.h"
#include "base/str.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum call_fate - what becomes of one HTTP call
 * @CALL_PASS: nothing is done to it
 * @CALL_LOST: carried out; the connection is reset before the whole answer
 *	has been sent
 * @CALL_LATE: carried out after newer calls, on a connection of its own;
 *	never answered
 * @CALL_REFUSED: answered with an error status, not carried out
 * @CALL_HELD: not carried out, and not answered
 * @CALL_SLOW: carried out; the answer is sent later, on the same connection
 * @CALL_OVERTAKEN: carried out after calls on other connections that were sent
 *	later
 */
enum call_fate {
	CALL_PASS,
	CALL_LOST,
	CALL_LATE,
	CALL_REFUSED,
	CALL_HELD,
	CALL_SLOW,
	CALL_OVERTAKEN,
};

/**
 * enum answer_cut - how much of a lost answer is sent
 */
enum answer_cut { CUT_BEFORE_HEAD, CUT_IN_HEAD, CUT_IN_BODY };

/**
 * struct call_plan - the fate of one call
 * @status: of a refused call
 * @cut: of a lost call
 * @wait_ms: delay of a late, slow or overtaken call
 * @reset: the connection of a late call is reset at once, rather than left
 *	without an answer
 */
struct call_plan {
	enum call_fate fate;
	int status;
	enum answer_cut cut;
	int64_t wait_ms;
	bool reset;
};

/**
 * struct call_fault - a fault that befalls calls by their path
 * @fate: of the calls that it befalls; CALL_PASS for no fault
 * @path: prefix of the path of these calls
 * @percent: share of these calls
 * @then_status: status of calls of @path behind a reset; 0 for none,
 *	CALL_FAULT_HOLD to hold them
 * @then_ms: for how long these calls get it; 0 for the next one only
 * @is_next_due: the next call gets it, however late
 * @then_until_ms: calls get it until then, monotonic clock; 0 for none
 * @rng: draws the calls and their plans
 */
struct call_fault {
	enum call_fate fate;
	char path[NAME_SIZE];
	unsigned int percent;
	int then_status;
	int64_t then_ms;
	bool is_next_due;
	int64_t then_until_ms;
	struct rng rng;
};

#define CALL_FAULT_HOLD 1

/**
 * call_fault_parse() - set a fault by its text; @f->rng is kept, and, with the
 * same fault, what follows a reset
 * @text: "FATE PATH PERCENT [STATUS [MS]]" with the fate lost, late, slow or
 *	overtaken; any other text means no fault
 */
void call_fault_parse(struct call_fault *f, const char *text);

/**
 * call_fault_plan() - decide the fate of a call
 * @path: path of the call, without arguments
 * @now_ms: monotonic time
 */
struct call_plan call_fault_plan(struct call_fault *f, const char *path,
				 int64_t now_ms);

/**
 * call_fault_reset() - note that a connection has been reset by the fault
 *
 * Calls that were under way before are not those that follow a lost one, so
 * nothing follows before this.
 */
void call_fault_reset(struct call_fault *f, int64_t now_ms);

/**
 * http_message_length() - length of the first HTTP message in @s
 *
 * A message without Content-Length has no body.
 *
 * Return: 0 if the message is not complete.
 */
size_t http_message_length(struct str s);

/**
 * http_head_length() - length of the head of an HTTP message with its empty
 * line; 0 if the head is not complete
 */
size_t http_head_length(struct str s);

/**
 * http_request_path() - copy the path of a request, without arguments
 */
void http_request_path(struct str request, char out[NAME_SIZE]);

#ifdef __cplusplus
}
#endif

#endif
