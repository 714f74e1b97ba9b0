#ifndef CELL_JOB_CANCEL_H
#define CELL_JOB_CANCEL_H

#include <stdbool.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The record that cancels a job. The append of a job may be stored seconds
 * after its caller has given up and cancelled it, so that a job that is not
 * accepted is cancelled, too: the record then names the accounts of the
 * callers, and applies if the job is accepted later for one of them, or for
 * none.
 *
 * Names of accounts follow each other, each with its NUL byte. "" is a caller
 * without an account.
 */

/**
 * job_cancel_write() - write the record for a job that is accepted
 */
void job_cancel_write(struct buf *out);

/**
 * job_cancel_write_early() - write the record for a job that is not accepted
 * @earlier: accounts of the record that this one replaces
 * @account: of the caller
 */
void job_cancel_write_early(struct str earlier, const char *account,
			    struct buf *out);

/**
 * job_cancel_read() - read a record
 * @accounts: receives the accounts that it names, which point into @value
 *
 * Return: whether the record applies to jobs of these accounts only.
 */
bool job_cancel_read(struct str value, struct str *accounts);

/**
 * account_names_add() - add those of @added that @names does not contain
 */
void account_names_add(struct buf *names, struct str added);

bool account_names_contain(struct str names, const char *account);

#ifdef __cplusplus
}
#endif

#endif
