#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "core/sched_internal.h"

/* Tests one schedd that owns a rack with two workers, without a network. */

static std::vector<struct msg> sent;

static void no_append(void *, uint64_t, const char *, struct str)
{
}
static void no_read(void *, uint64_t, const char *, uint64_t)
{
}
static void record_send(void *, uint64_t, const struct msg *m)
{
	sent.push_back(*m);
}
static void no_event(void *, const char *, uint64_t, uint32_t, const char *)
{
}
static void no_count(void *, int, uint64_t)
{
}

static const struct port_ops ops = {no_append, no_read, record_send, no_event,
				    no_count};

static std::string service(const char *name, const char *kind, int urgency)
{
	return std::string("{\"kind\":\"service\",\"name\":\"") + name +
	       "\",\"version\":1,\"owner\":\"o\",\"team\":\"t\",\"class\":\"" +
	       kind +
	       "\",\"idempotent\":true,\"urgency\":" + std::to_string(urgency) +
	       ",\"cpu_milli\":1000,\"memory_mb\":100,\"deadline_ms\":60000,"
	       "\"run_ms\":1000,\"zones\":[\"z\"],\"may_displace\":[\"batch\"]"
	       "}";
}

class Rack : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct ports ports = {&ops, NULL};
		struct sched_options o = {};

		sent.clear();
		name_set(o.name, "s");
		name_set(o.zone, "z");
		o.incarnation = 1;
		o.append_budget = 10;
		o.append_burst = 10;
		o.key_keep_ms = o.refresh_ms = 1000000;
		o.protections = PROTECT_ALL;
		sched_init(&s, &o, &ports, now, 1000000);
		apply_document(
			"{\"kind\":\"zone\",\"name\":\"z\",\"version\":1,"
			"\"region\":\"r\",\"state\":\"in\",\"racks\":[\"a\"]}");
		apply_document(
			"{\"kind\":\"region\",\"name\":\"r\",\"version\":1,"
			"\"zones\":[\"z\"],\"job_shards\":1}");
		apply_document(service("desk", "latency-critical", 9));
		apply_document(service("batch", "batch", 2));
		sched_sync_shards(&s);
		rack = s.zones[0].racks[0];
		rack->state = SHARD_OWNED;
		rack->claim.epoch = 1;
		w[0] = worker_table_add(&s.workers, 1, "w0", rack->id);
		w[1] = worker_table_add(&s.workers, 2, "w1", rack->id);
		for (auto *x : w)
			inventory(x, {});
	}
	void TearDown() override
	{
		sched_finish(&s);
	}

	void apply_document(const std::string &text)
	{
		struct str t = {text.data(), text.size()};

		ASSERT_EQ(config_apply(&s.config, s.config.offset, t), 1);
	}
	/* Advances the clock; streams and host list are read at that time. */
	void advance(int64_t ms)
	{
		now += ms;
		s.config_stream.fresh_ms = s.claims_stream.fresh_ms = now;
		s.hosts_ms = now;
		sched_worker_tick(&s, rack, w[0]);
		sched_worker_tick(&s, rack, w[1]);
	}
	void inventory(struct worker *x, std::vector<struct task_status> tasks)
	{
		struct msg m = {};

		s.config_stream.fresh_ms = s.claims_stream.fresh_ms = now;
		s.hosts_ms = now;
		m.kind = MSG_INVENTORY;
		m.from = x->id;
		m.full = 1;
		m.epoch = 1;
		m.boot = 5;
		m.worker_clock_ms = m.measured_ms = (uint64_t)now;
		m.res = {4000, 1000, 0, 4, 10};
		m.tasks.items = tasks.data();
		m.tasks.count = tasks.size();
		sched_on_msg(&s, now, &m);
	}
	static struct task_status task(uint64_t job, const char *name,
				       uint32_t slowdown_milli)
	{
		struct task_status t = {};

		t.job = job;
		t.attempt = 1;
		t.state = TASK_RUNNING;
		t.movable = 1;
		t.service = service_id(name);
		t.lease_ms = 15000;
		t.slowdown_milli = slowdown_milli;
		t.res = {1000, 100, 0, 1, 0};
		return t;
	}
	uint64_t reserve(const char *name, uint64_t job)
	{
		struct msg m = {};

		m.kind = MSG_RESERVE;
		m.from = 77;
		m.rack = rack->id;
		m.job = job;
		m.attempt = 1;
		m.res = {1000, 100, 0, 1, 0};
		name_set(m.service, name);
		sent.clear();
		sched_on_msg(&s, now, &m);
		return sent.empty() || sent.back().state ? 0
							 : sent.back().worker;
	}
	size_t count_sent(uint32_t kind)
	{
		size_t n = 0;

		for (auto &m : sent)
			n += m.kind == kind;
		return n;
	}

	int64_t now = 100000;
	struct sched s;
	struct shard *rack;
	struct worker *w[2];
};

TEST_F(Rack, PlacesServiceAwayFromInterferingTask)
{
	int i;

	/* On w0, the batch task doubles the run time of the desk task. */
	inventory(w[0], {task(1, "desk", 0), task(2, "batch", 0)});
	inventory(w[1],
		  {task(3, "desk", 0), task(4, "desk", 0), task(5, "desk", 0)});
	for (i = 0; i < 10; i++) {
		advance(1000);
		inventory(w[0],
			  {task(1, "desk", 2000), task(2, "batch", 1000)});
		inventory(w[1], {task(3, "desk", 1000), task(4, "desk", 1000),
				 task(5, "desk", 1000)});
	}
	EXPECT_GT(interference_effect(&s.interference, now, service_id("desk"),
				      service_id("batch")),
		  0.5);
	EXPECT_EQ(reserve("desk", 50), w[1]->id)
		<< "w1 has less free capacity, but no interference";
}

TEST_F(Rack, ThrottlesThenEvictsInterferingTask)
{
	int i;

	inventory(w[0], {task(1, "desk", 0), task(2, "batch", 0)});
	sent.clear();
	for (i = 0; i < 4; i++) {
		advance(1000);
		inventory(w[0],
			  {task(1, "desk", 2000), task(2, "batch", 1000)});
	}
	EXPECT_EQ(count_sent(MSG_WORKER_THROTTLE), 1u);
	for (i = 0; i < 4; i++) {
		advance(1000);
		inventory(w[0],
			  {task(1, "desk", 2000), task(2, "batch", 1000)});
	}
	EXPECT_GE(count_sent(MSG_WORKER_STOP), 1u);
	EXPECT_TRUE(worker_table_commitment(&s.workers, 2, 1)->stop_requested);
	EXPECT_FALSE(worker_table_commitment(&s.workers, 1, 1)->stop_requested);
}

TEST_F(Rack, IgnoresMeasurementOlderThanTaskChange)
{
	inventory(w[0], {task(1, "desk", 3000), task(2, "batch", 3000)});
	EXPECT_DOUBLE_EQ(interference_confidence(&s.interference, now,
						 service_id("desk"),
						 service_id("batch")),
			 0.0);
}

TEST_F(Rack, NoPlacementOnLeavingWorkerOrInZoneTakenOut)
{
	w[0]->leaving_listed = true;
	EXPECT_EQ(reserve("desk", 60), w[1]->id);
	w[1]->leaving_reported = true;
	EXPECT_EQ(reserve("desk", 61), 0u);
	w[0]->leaving_listed = w[1]->leaving_reported = false;
	apply_document("{\"kind\":\"zone\",\"name\":\"z\",\"version\":2,"
		       "\"region\":\"r\",\"state\":\"out\",\"racks\":[\"a\"]}");
	EXPECT_EQ(reserve("desk", 62), 0u);
}

TEST_F(Rack, NoPlacementWithoutRecentReadOrHostList)
{
	now += SCHED_STALENESS_MAX_MS + 1;
	s.hosts_ms = now;
	EXPECT_EQ(reserve("desk", 70), 0u)
		<< "the newest read of the log is too old";
	s.config_stream.fresh_ms = s.claims_stream.fresh_ms = now;
	s.hosts_ms = now - SCHED_STALENESS_MAX_MS - 1;
	EXPECT_EQ(reserve("desk", 71), 0u) << "the host list is too old";
	s.hosts_ms = now;
	EXPECT_NE(reserve("desk", 72), 0u);
}

TEST_F(Rack, DisplacesLeastProgressAndHoldsCapacity)
{
	struct msg m = {};
	std::vector<struct task_status> a, b;
	uint64_t i;

	for (i = 0; i < 4; i++) {
		a.push_back(task(10 + i, "batch", 0));
		b.push_back(task(20 + i, "desk", 0));
		a.back().progress = 100 * (i + 1);
		a.back().urgency = 2;
		b.back().urgency = 9;
	}
	inventory(w[0], a);
	inventory(w[1], b);
	EXPECT_EQ(reserve("desk", 30), 0u) << "both workers are full";
	m.kind = MSG_DISPLACE;
	m.from = 77;
	m.rack = rack->id;
	name_set(m.service, "desk");
	sent.clear();
	sched_on_msg(&s, now, &m);
	ASSERT_EQ(count_sent(MSG_WORKER_STOP), 1u);
	EXPECT_EQ(sent.back().job, 10u) << "the task with the least progress";
	a[0].state = TASK_STOPPED;
	inventory(w[0], a);
	EXPECT_EQ(reserve("batch", 31), 0u)
		<< "the capacity is held for the preempting job";
	m.urgency = 9;
	m.kind = MSG_RESERVE;
	m.job = 32;
	m.attempt = 1;
	m.res = {1000, 100, 0, 1, 0};
	sent.clear();
	sched_on_msg(&s, now, &m);
	ASSERT_FALSE(sent.empty());
	EXPECT_EQ(sent.back().worker, w[0]->id);
}

TEST_F(Rack, QuarantinedWorkerRunsOneProbeAtATime)
{
	uint64_t i;

	for (i = 0; i < SCHED_WORKER_FAILURES; i++) {
		struct task_status t = task(40 + i, "batch", 0);

		inventory(w[0], {t});
		t.state = TASK_FAILED;
		inventory(w[0], {t});
	}
	w[1]->leaving_listed = true;
	EXPECT_EQ(reserve("batch", 45), w[0]->id) << "the probe";
	EXPECT_EQ(reserve("batch", 46), 0u)
		<< "no second task beside the probe";
}
