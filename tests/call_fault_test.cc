#include <gtest/gtest.h>

#include "standins/call_fault.h"

namespace
{

/* A request that is forwarded in part is carried out by no server, and a call
 * whose fault is drawn then befalls half of it. */
TEST(CallFault, TakesARequestOnlyWhenItIsComplete)
{
	const char *whole = "POST /api/run-start HTTP/1.1\r\nHost: a\r\n"
			    "content-length: 4\r\n\r\nabcd";
	size_t n = strlen(whole), i;

	EXPECT_EQ(n, http_message_length(str_of(whole)));
	for (i = 1; i < n; i++)
		EXPECT_EQ(0u, http_message_length((struct str){whole, i}));
	EXPECT_EQ(strlen("GET /a HTTP/1.1\r\n\r\n"),
		  http_message_length(str_of("GET /a HTTP/1.1\r\n\r\nPOST")));
}

/* With its arguments in the path, the next append is none of the same kind. */
TEST(CallFault, ReadsThePathWithoutArguments)
{
	char path[NAME_SIZE];

	http_request_path(str_of("POST /api/log-append?topic=a HTTP/1.1\r\n"),
			  path);
	EXPECT_STREQ("/api/log-append", path);
	http_request_path(str_of("nonsense"), path);
	EXPECT_STREQ("", path);
}

const int64_t NOW = 1000;

/* A fault that spares the call after a lost one hides that its refusal is taken
 * for the outcome of the lost one. */
TEST(CallFault, RefusesTheNextCallOfThePathAfterALostOne)
{
	struct call_fault f = {};
	struct call_plan p;

	call_fault_parse(&f, "lost /api/run-start 100 503");
	EXPECT_EQ(CALL_PASS, call_fault_plan(&f, "/api/hold", NOW).fate);
	EXPECT_EQ(CALL_LOST, call_fault_plan(&f, "/api/run-start", NOW).fate);
	call_fault_reset(&f, NOW);
	EXPECT_EQ(CALL_PASS, call_fault_plan(&f, "/api/hold", NOW).fate);
	call_fault_parse(&f, "lost /api/run-start 100 503");
	p = call_fault_plan(&f, "/api/run-start", NOW + 5000);
	EXPECT_EQ(CALL_REFUSED, p.fate);
	EXPECT_EQ(503, p.status);
	EXPECT_EQ(CALL_LOST, call_fault_plan(&f, "/api/run-start", NOW).fate);
	call_fault_reset(&f, NOW);
	call_fault_parse(&f, "pass");
	EXPECT_EQ(CALL_PASS, call_fault_plan(&f, "/api/run-start", NOW).fate);
}

/* Calls that were under way when another one got lost took the refusal that was
 * meant for its repeat: a client that repeats calls went unnoticed. */
TEST(CallFault, RefusesNoCallThatComesBeforeTheReset)
{
	struct call_fault f = {};

	call_fault_parse(&f, "lost /api/run-start 100 503 300");
	EXPECT_EQ(CALL_LOST, call_fault_plan(&f, "/api/run-start", NOW).fate);
	EXPECT_EQ(CALL_LOST, call_fault_plan(&f, "/api/run-start", NOW).fate);
	call_fault_reset(&f, NOW);
	EXPECT_EQ(CALL_REFUSED,
		  call_fault_plan(&f, "/api/run-start", NOW).fate);
}

/* An append counts as refused only if all its repeats are refused. */
TEST(CallFault, RefusesCallsForAsLongAsItSays)
{
	struct call_fault f = {};
	int64_t t;

	call_fault_parse(&f, "lost /api/ 100 503 300");
	EXPECT_EQ(CALL_LOST, call_fault_plan(&f, "/api/hold", NOW).fate);
	call_fault_reset(&f, NOW);
	for (t = NOW; t < NOW + 300; t++)
		EXPECT_EQ(CALL_REFUSED,
			  call_fault_plan(&f, "/api/hold", t).fate);
	EXPECT_EQ(CALL_LOST, call_fault_plan(&f, "/api/hold", t).fate);
}

TEST(CallFault, HoldsTheNextCallOfThePathAfterALostOne)
{
	struct call_fault f = {};

	call_fault_parse(&f, "lost /api/ 100 1");
	EXPECT_EQ(CALL_LOST, call_fault_plan(&f, "/api/hold", NOW).fate);
	call_fault_reset(&f, NOW);
	EXPECT_EQ(CALL_HELD, call_fault_plan(&f, "/api/hold", NOW).fate);
}

/* A late call that comes before the caller's time limit is none. */
TEST(CallFault, CarriesALateCallOutAfter2To12Seconds)
{
	struct call_fault f = {};
	int i;

	call_fault_parse(&f, "late /api/ 100");
	for (i = 0; i < 1000; i++) {
		struct call_plan p = call_fault_plan(&f, "/api/run-stop", NOW);

		EXPECT_EQ(CALL_LATE, p.fate);
		EXPECT_GE(p.wait_ms, 2000);
		EXPECT_LT(p.wait_ms, 12000);
	}
}

/* Without calls that it spares, no call is newer than the late one. */
TEST(CallFault, BefallsTheShareOfTheCallsThatItNames)
{
	struct call_fault f = {};
	int i, hit = 0;

	call_fault_parse(&f, "slow /api/ 20");
	for (i = 0; i < 10000; i++)
		hit += call_fault_plan(&f, "/api/hold", NOW).fate == CALL_SLOW;
	EXPECT_GT(hit, 1800);
	EXPECT_LT(hit, 2200);
}

} // namespace
