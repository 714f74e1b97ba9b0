#include "cell/job_cancel.h"

#include <string.h>

#define CANCEL_ACCEPTED "1"
#define CANCEL_EARLY "1:"

void job_cancel_write(struct buf *out)
{
	buf_adds(out, CANCEL_ACCEPTED);
}

void job_cancel_write_early(struct str earlier, const char *account,
			    struct buf *out)
{
	buf_adds(out, CANCEL_EARLY);
	buf_add(out, earlier.data, earlier.len);
	if (!account_names_contain(earlier, account))
		buf_add(out, account, strlen(account) + 1);
}

bool job_cancel_read(struct str value, struct str *accounts)
{
	size_t n = strlen(CANCEL_EARLY);

	if (value.len < n || memcmp(value.data, CANCEL_EARLY, n) != 0)
		return false;
	accounts->data = value.data + n;
	accounts->len = value.len - n;
	return true;
}

/* Takes the first name off @names. */
static bool name_take(struct str *names, struct str *out)
{
	const char *end;
	size_t taken;

	if (!names->len)
		return false;
	end = memchr(names->data, '\0', names->len);
	out->data = names->data;
	out->len = end ? (size_t)(end - names->data) : names->len;
	taken = out->len + (end != NULL);
	names->data += taken;
	names->len -= taken;
	return true;
}

static bool names_contain(struct str names, struct str name)
{
	struct str n;

	while (name_take(&names, &n))
		if (str_eq(n, name))
			return true;
	return false;
}

void account_names_add(struct buf *names, struct str added)
{
	struct str name;

	while (name_take(&added, &name)) {
		struct str known = {names->data, names->len};

		if (names_contain(known, name))
			continue;
		buf_add(names, name.data, name.len);
		buf_add(names, "", 1);
	}
}

bool account_names_contain(struct str names, const char *account)
{
	return names_contain(names, str_of(account));
}
