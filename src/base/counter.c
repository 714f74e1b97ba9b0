#include "base/counter.h"

#include <ck_pr.h>

#include <inttypes.h>

const struct counter_row counter_table[COUNTER_MAX] = {
#define COUNTER_ROW(sym, name, unit, help) [COUNTER_##sym] = {name, unit, help},
	COUNTER_ROWS(COUNTER_ROW)
#undef COUNTER_ROW
};

static uint64_t values[COUNTER_MAX];

void counter_add(enum counter_id id, uint64_t n)
{
	ck_pr_add_64(&values[id], n);
}

uint64_t counter_get(enum counter_id id)
{
	return ck_pr_load_64(&values[id]);
}

void counter_write(struct buf *out)
{
	int i;

	buf_adds(out, "{");
	for (i = 0; i < COUNTER_MAX; i++)
		buf_addf(out, "%s\"%s\":%" PRIu64, i ? "," : "",
			 counter_table[i].name,
			 counter_get((enum counter_id)i));
	buf_adds(out, "}\n");
}
