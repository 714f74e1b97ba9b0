#include <gtest/gtest.h>

#include "adapters/clock.h"
#include "platform/platform.h"
#include "tests/scripted_server.h"

namespace
{

const char STORED[] = "{\"offset\":4,\"endOffset\":5}";

/* Makes calls of the platform's adapters, one after the other. */
class PlatformCall : public testing::Test
{
      protected:
	void SetUp() override
	{
		curl_global_init(CURL_GLOBAL_DEFAULT);
		ops.tick = [](void *) { return (int64_t)20; };
		ops.post = [](void *, void *) {};
		ASSERT_EQ(loop_init(&l, &ops, this, 100), 0);
		p.loop = &l;
		name_set(p.group, "cells");
		name_set(p.topic, "cells");
		p.group_ttl_ms = 2000;
	}

	void TearDown() override
	{
		loop_finish(&l);
	}

	void run()
	{
		l.stopping = false;
		loop_run(&l);
	}

	static void on_stored(void *ctx, const store_reply *r)
	{
		PlatformCall *t = (PlatformCall *)ctx;

		t->stored = r->status;
		loop_stop(&t->l);
	}

	store_status append(const ScriptedServer &s)
	{
		store_append a = {};

		name_set(p.store_addr, s.address.c_str());
		a.topic = "keyed.jobs";
		a.records = str_of("record");
		a.producer = "cell-0";
		platform_store_ops.append(&p, &a, on_stored, this);
		run();
		return stored;
	}

	store_status join(const ScriptedServer &s)
	{
		name_set(p.store_addr, s.address.c_str());
		platform_store_ops.join(&p, "host-a", 1, on_stored, this);
		run();
		return stored;
	}

	static void on_ordered(void *ctx, const worker_addr *, const task_ref *,
			       const order_reply *r)
	{
		PlatformCall *t = (PlatformCall *)ctx;

		t->ordered = r->status;
		loop_stop(&t->l);
	}

	order_status start(const ScriptedServer &s)
	{
		worker_addr w = {};
		order o = {};

		name_set(w.id, "w-1");
		name_set(w.address, s.address.c_str());
		o.spec = str_of("spec");
		platform_worker_ops.start(&p, &w, &o, on_ordered, this);
		run();
		return ordered;
	}

	store_status read(const ScriptedServer &s)
	{
		name_set(p.store_addr, s.address.c_str());
		platform_store_ops.read(&p, "keyed.op", 0, 0, 0, on_stored,
					this);
		run();
		return stored;
	}

	struct platform p = {};
	loop l;
	loop_ops ops;
	store_status stored;
	order_status ordered;
};

/*
 * Against accepted jobs that were lost, and rejected ones that ran: an append
 * was carried out and its answer lost, a second one that curl sent by itself
 * was refused, and the owner took the records for not stored.
 */
TEST_F(PlatformCall, AnAppendThatLosesItsAnswerIsNotRefused)
{
	ScriptedServer s({200, ScriptedServer::RESET, 503}, STORED);

	EXPECT_EQ(append(s), STORE_OK);
	EXPECT_EQ(append(s), STORE_UNKNOWN);
	EXPECT_EQ(append(s), STORE_REFUSED);
}

/*
 * Against rejected jobs that ran: a status that says nothing about the append,
 * such as that of a failure inside the store, was taken for a refusal.
 */
TEST_F(PlatformCall, OnlyAStatusThatExcludesAnEffectIsARefusal)
{
	for (int status : {400, 403, 413, 429, 503, 507}) {
		ScriptedServer s({status}, STORED);

		EXPECT_EQ(append(s), STORE_REFUSED) << status;
	}
	for (int status : {202, 204, 302, 408, 500, 502, 504}) {
		ScriptedServer s({status}, STORED);

		EXPECT_EQ(append(s), STORE_UNKNOWN) << status;
	}
}

/*
 * Against a task that ran twice: a start was carried out and its answer lost, a
 * second one that curl sent by itself was refused, and the task was started on
 * another worker.
 */
TEST_F(PlatformCall, AStartThatLosesItsAnswerIsNotRefused)
{
	ScriptedServer s({200, ScriptedServer::RESET, 503});

	EXPECT_EQ(start(s), ORDER_OK);
	EXPECT_EQ(start(s), ORDER_UNKNOWN);
	EXPECT_EQ(start(s), ORDER_UNHEALTHY);
}

/*
 * The join that was under way when the store went down hung for longer than the
 * outage. Leases are renewed once a later one is answered: all runs of an
 * outage of 7 s ended with their leases, 1 s after the store was back.
 */
TEST_F(PlatformCall, AJoinThatHangsEndsWellBeforeTheTimeToLive)
{
	ScriptedServer s({ScriptedServer::HANG, 503});
	int64_t began = clock_boot_ms();

	EXPECT_EQ(join(s), STORE_UNKNOWN);
	EXPECT_LT(clock_boot_ms() - began, 1500);
	EXPECT_EQ(join(s), STORE_REFUSED);
}

/*
 * Against reads of a weak link that began again and again: one whose reply took
 * longer than the time-out was dropped while the reply was arriving.
 */
TEST_F(PlatformCall, WaitsForAReplyThatIsArriving)
{
	ScriptedServer s({200}, std::string(1600, '\0'));

	s.send_in_pieces(8, 300);
	EXPECT_EQ(read(s), STORE_OK);
}

TEST_F(PlatformCall, GivesUpAReplyThatHasStoppedArriving)
{
	ScriptedServer s({200}, std::string(1600, '\0'));
	int64_t began = clock_boot_ms();

	s.send_in_pieces(8, 300, 2);
	EXPECT_EQ(read(s), STORE_UNKNOWN);
	EXPECT_LT(clock_boot_ms() - began, 5000);
}

} /* namespace */
