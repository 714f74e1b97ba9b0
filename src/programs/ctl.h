#ifndef PROGRAMS_CTL_H
#define PROGRAMS_CTL_H

#include "base/setting.h"
#include "core/config.h"

/**
 * struct ctl - one invocation of the operator command line
 * @platform: base URL of the platform's service, empty if not set
 * @args: arguments after the name of the command
 * @verify: recompute the bill records and compare them with those in the log
 */
struct ctl {
	const char *platform;
	const char **args;
	size_t arg_count;
	bool verify;
};

/* Each command returns an exit code. */
int ctl_check(struct ctl *c);
int ctl_diff(struct ctl *c);
int ctl_publish(struct ctl *c);
int ctl_zone(struct ctl *c);
int ctl_status(struct ctl *c);
int ctl_explain(struct ctl *c);
int ctl_bill(struct ctl *c);

/**
 * ctl_read_stream() - read a stream from its oldest entry, at most 1000000
 * entries
 * @body: receives the reply; the entries in @r refer to it
 * @r: the entries, allocated from @a
 *
 * Return: 0, -EIO if the log does not reply, or an error of
 * log_read_parse().
 */
int ctl_read_stream(const struct ctl *c, const char *stream, struct buf *body,
		    struct log_read *r, struct arena *a);

/**
 * ctl_load_config() - load the documents in force
 * @cfg: initialized by the caller; unchanged on error
 *
 * Return: 0, or an error of ctl_read_stream().
 */
int ctl_load_config(const struct ctl *c, struct config *cfg);

#endif
