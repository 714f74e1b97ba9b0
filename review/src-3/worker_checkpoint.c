#include "adapters/clock.h"
#include "adapters/http_server.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * An addition to the stand-in of a worker, which has no checkpoints: each task of the
 * job CHECKPOINT_JOB that it lists as running has one, of CHECKPOINT_LEN hexadecimal
 * digits, from a share of its work on, and a new one each CHECKPOINT_MS; a run that was
 * stopped or has lapsed has it, too. Linked to it with --wrap=http_reply. A start that
 * carries a checkpoint begins anew: none does in the cases.
 */
#define CHECKPOINT_MS 500
/* 0.5 s of a run of 7 s */
#define FIRST_PERCENT 8
#define LEN_MAX 4000
#define EMPTY ",\"\""

void __real_http_reply(struct http_request *r, int status, uint32_t retry_ms,
		       const char *body, size_t len);
void __wrap_http_reply(struct http_request *r, int status, uint32_t retry_ms,
		       const char *body, size_t len);

static void add_checkpoint(struct buf *b)
{
	const char *text = getenv("CHECKPOINT_LEN");
	size_t len = text ? strtoul(text, NULL, 10) : 0, i;
	char name[17];

	snprintf(name, sizeof(name), "%016" PRIx64,
		 (uint64_t)clock_mono_ms() / CHECKPOINT_MS);
	buf_adds(b, ",\"");
	for (i = 0; i < len && i < LEN_MAX; i++)
		buf_add(b, &name[i % (sizeof(name) - 1)], 1);
	buf_adds(b, "\"");
}

static bool ends_with(const struct buf *b, const char *text)
{
	size_t len = strlen(text);

	return b->len >= len && !memcmp(b->data + b->len - len, text, len);
}

/* Whether the row is of the job whose tasks keep checkpoints. */
static bool is_of_job(const struct buf *row)
{
	const char *job = getenv("CHECKPOINT_JOB");
	size_t len = job ? strlen(job) : 0, i = row->len;

	while (i && row->data[i - 1] != '[')
		i--;
	for (; len && i + len <= row->len; i++)
		if (!memcmp(row->data + i, job, len))
			return true;
	return false;
}

/*
 * Whether the run of a row has a checkpoint: not one that is done or has failed, nor
 * one at work with a lower share than the first. @rest follows the empty field.
 */
static bool has_checkpoint(const struct buf *row, const char *rest)
{
	if (!is_of_job(row))
		return false;
	if (*rest == ',')
		return strtoul(rest + 1, NULL, 10) >= FIRST_PERCENT;
	return !ends_with(row, "\"done\"") && !ends_with(row, "\"failed\"");
}

void __wrap_http_reply(struct http_request *r, int status, uint32_t retry_ms,
		       const char *body, size_t len)
{
	struct buf b;
	size_t i;

	buf_init(&b);
	for (i = 0; i < len; i++) {
		if (len - i <= strlen(EMPTY) ||
		    memcmp(body + i, EMPTY, strlen(EMPTY)) ||
		    !has_checkpoint(&b, body + i + strlen(EMPTY))) {
			buf_add(&b, body + i, 1);
			continue;
		}
		add_checkpoint(&b);
		i += strlen(EMPTY) - 1;
	}
	__real_http_reply(r, status, retry_ms, b.data, b.len);
	buf_finish(&b);
}
