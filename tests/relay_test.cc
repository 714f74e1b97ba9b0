#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "adapters/clock.h"
#include "host/relay_server.h"

namespace
{

/* Workers that answer when the test says so. */
struct Workers {
	struct Call {
		std::string worker;
		std::string spec;
		std::string checkpoint;
		task_ref ref;
		uint64_t fence;
		int64_t deadline;
		uint32_t percent;
		poll_request hold;
		order_done done;
		poll_done held;
		void *ctx;
	};

	Workers()
	{
		ops.start = order_in;
		ops.stop = order_in;
		ops.throttle = order_in;
		ops.poll = [](void *p, const worker_addr *w,
			      const poll_request *h, poll_done d, void *ctx) {
			Call c = {};
			c.worker = w->id;
			c.hold = *h;
			c.held = d;
			c.ctx = ctx;
			((Workers *)p)->calls.push_back(c);
		};
	}

	static void order_in(void *p, const worker_addr *w, const order *o,
			     order_done d, void *ctx)
	{
		Call c = {};
		c.worker = w->id;
		c.spec.assign(o->spec.data ? o->spec.data : "", o->spec.len);
		c.checkpoint = o->checkpoint ? o->checkpoint : "";
		c.ref = o->ref;
		c.fence = o->fence;
		c.deadline = o->lease_deadline_ms;
		c.percent = o->speed_percent;
		c.done = d;
		c.ctx = ctx;
		((Workers *)p)->calls.push_back(c);
	}

	void answer(order_status status, int64_t clock = 0)
	{
		Call c = calls.front();
		order_reply r = {status, clock};
		worker_addr w = {};

		calls.erase(calls.begin());
		c.done(c.ctx, &w, &c.ref, &r);
	}

	worker_ops ops;
	std::vector<Call> calls;
};

constexpr uint64_t OWNER = 1;

/* An owner and hosts that make its calls; batches travel at once. */
class Relay : public testing::Test
{
      public:
	void SetUp() override
	{
		relay_net net = {};

		net.send = [](void *ctx, uint64_t to, str batch) {
			((Relay *)ctx)->to_host(to, batch);
		};
		net.drop = [](void *ctx, uint64_t) { ((Relay *)ctx)->drops++; };
		net.ctx = this;
		relay_init(&r, &straight.ops, &straight, &net);
		r.workers = 400;
		now = clock_boot_ms();
	}

	void TearDown() override
	{
		while (!far.calls.empty())
			far.answer(ORDER_UNKNOWN);
		relay_finish(&r);
		for (auto &h : hosts)
			relay_server_finish(&h.second);
	}

	void add_host(const std::string &name, uint32_t cpu_milli)
	{
		uint64_t id = name_hash(name.c_str());
		relay_net net = {};

		net.send = [](void *ctx, uint64_t, str batch) {
			((Relay *)ctx)->from_host(batch);
		};
		net.ctx = this;
		relay_server_init(&hosts[id], &far.ops, &far, &net);
		relay_peer_set(&r, name.c_str(), "10.0.0.1:1", cpu_milli);
	}

	void to_host(uint64_t to, str text)
	{
		relay_batch b = {};
		arena a;

		if (silent)
			return;
		arena_init(&a);
		ASSERT_EQ(shape_read(&relay_batch_shape, text, &b, &a), 0);
		relay_server_take(&hosts[to], OWNER, &b);
		arena_finish(&a);
		sender = to;
	}

	void from_host(str text)
	{
		relay_batch b = {};
		arena a;

		arena_init(&a);
		ASSERT_EQ(shape_read(&relay_batch_shape, text, &b, &a), 0);
		relay_take(&r, sender, &b);
		arena_finish(&a);
	}

	void run(int64_t ms)
	{
		for (int64_t end = now + ms; now < end; now += 10) {
			relay_tick(&r, now);
			for (auto &h : hosts) {
				sender = h.first;
				relay_server_tick(&h.second, now);
			}
		}
	}

	/* Hosts answer the first question, and are used from then on. */
	void meet()
	{
		run(100);
		ASSERT_GT(r.active_count, 0u);
	}

	static void note_order(void *ctx, const worker_addr *,
			       const task_ref *ref, const order_reply *o)
	{
		Relay *t = (Relay *)ctx;

		t->statuses.push_back(o->status);
		t->last = *ref;
		t->clock = o->clock;
	}

	void start(const std::string &worker)
	{
		worker_addr w = {};
		order o = {};

		name_set(w.id, worker.c_str());
		name_set(w.address, "10.0.0.9:1");
		o.ref = {7, 0, 1, 2, 3};
		o.fence = 9;
		o.lease_deadline_ms = 12345;
		o.spec = str_of("text");
		o.checkpoint = "saved";
		relay_worker_ops.start(&r, &w, &o, note_order, this);
	}

	relay r;
	Workers straight;
	Workers far;
	std::map<uint64_t, relay_server> hosts;
	uint64_t sender = 0;
	int64_t now = 0;
	bool silent = false;
	int drops = 0;
	std::vector<order_status> statuses;
	task_ref last = {};
	int64_t clock = 0;
	poll_reply reply = {};
	std::string ended_checkpoint;
};

TEST_F(Relay, CallsStraightWhileTheDeploymentIsSmall)
{
	add_host("a", 8000);
	r.workers = 60;
	run(1000);
	start("w1");
	run(100);
	EXPECT_EQ(straight.calls.size(), 1u);
	EXPECT_EQ(far.calls.size(), 0u);
}

TEST_F(Relay, CarriesAnOrderAndItsAnswer)
{
	add_host("a", 8000);
	meet();
	start("w1");
	run(20);
	ASSERT_EQ(far.calls.size(), 1u);
	Workers::Call c = far.calls[0];
	EXPECT_EQ(c.worker, "w1");
	EXPECT_EQ(c.spec, "text");
	EXPECT_EQ(c.checkpoint, "saved");
	EXPECT_EQ(c.ref.job, 7u);
	EXPECT_EQ(c.ref.run, 3u);
	EXPECT_EQ(c.fence, 9u);
	EXPECT_EQ(c.deadline, 12345);
	far.answer(ORDER_NO_ROOM, 777);
	run(50);
	ASSERT_EQ(statuses, std::vector<order_status>({ORDER_NO_ROOM}));
	EXPECT_EQ(last.index, 2u);
	EXPECT_EQ(clock, 777);
}

TEST_F(Relay, CarriesTheListsOfAWorker)
{
	poll_request h = {9, 500, 4, 1000};
	worker_addr w = {};
	run_row row = {};
	ended_run end = {};
	poll_reply a = {};

	add_host("a", 8000);
	meet();
	name_set(w.id, "w1");
	relay_worker_ops.poll(
		&r, &w, &h,
		[](void *ctx, const worker_addr *, const poll_reply *x) {
			Relay *t = (Relay *)ctx;
			t->reply = *x;
			ASSERT_EQ(x->running_count, 1u);
			ASSERT_EQ(x->ended_count, 1u);
			EXPECT_EQ(x->running[0].ref.step, 5u);
			EXPECT_EQ(x->running[0].measure, 42u);
			EXPECT_EQ(x->ended[0].number, 11u);
			EXPECT_EQ(x->ended[0].how, RUN_STOPPED);
			t->ended_checkpoint = x->ended[0].checkpoint;
		},
		this);
	run(20);
	ASSERT_EQ(far.calls.size(), 1u);
	EXPECT_EQ(far.calls[0].hold.ack, 4u);
	EXPECT_EQ(far.calls[0].hold.wait_ms, 1000u);
	row.ref.step = 5;
	row.measure = 42;
	end.number = 11;
	end.how = RUN_STOPPED;
	name_set(end.checkpoint, "cp");
	a.born = 99;
	a.clock = 5000;
	a.running = &row;
	a.running_count = 1;
	a.ended = &end;
	a.ended_count = 1;
	far.calls[0].held(far.calls[0].ctx, &w, &a);
	far.calls.clear();
	run(50);
	EXPECT_EQ(reply.born, 99u);
	EXPECT_EQ(reply.clock, 5000);
	EXPECT_LE(reply.sent_ms, now);
	EXPECT_GT(reply.sent_ms, 0);
	EXPECT_EQ(ended_checkpoint, "cp");
}

TEST_F(Relay, EndsCallsOfASilentHostWithoutAnAnswer)
{
	add_host("a", 8000);
	meet();
	silent = true;
	start("w1");
	run(3000);
	ASSERT_EQ(statuses, std::vector<order_status>({ORDER_UNKNOWN}));
	EXPECT_EQ(drops, 1);
	start("w1"); /* straight, as nobody is left */
	EXPECT_EQ(straight.calls.size(), 1u);
}

TEST_F(Relay, CallsAWorkerStraightAfterACallWithoutAnAnswer)
{
	add_host("a", 8000);
	meet();
	start("w1");
	run(20);
	far.answer(ORDER_UNKNOWN);
	run(20);
	start("w1");
	run(20);
	EXPECT_EQ(straight.calls.size(), 1u);
	EXPECT_EQ(far.calls.size(), 0u);
	start("w2");
	run(20);
	EXPECT_EQ(far.calls.size(), 1u);
}

TEST_F(Relay, LeavesAHostThatGoes)
{
	add_host("a", 8000);
	meet();
	start("w1");
	run(20);
	relay_peer_leaves(&r, "a");
	start("w1");
	run(20);
	EXPECT_EQ(straight.calls.size(), 1u);
	far.answer(ORDER_OK); /* what was open is still answered */
	run(20);
	EXPECT_EQ(statuses, std::vector<order_status>({ORDER_OK}));
}

TEST_F(Relay, UsesTheStrongestHosts)
{
	add_host("weak", 120);
	add_host("strong", 1000);
	add_host("stronger", 2000);
	r.workers = 500;
	meet();
	ASSERT_EQ(r.active_count, 2u);
	EXPECT_STREQ(r.active[0]->name, "stronger");
	EXPECT_STREQ(r.active[1]->name, "strong");
}

} /* namespace */
