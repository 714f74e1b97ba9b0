#ifndef TESTS_CELL_WORLD_H
#define TESTS_CELL_WORLD_H

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "cell/cell.h"

/* A call to a worker, kept until the test answers it. */
struct Call {
	enum Kind { START, STOP, THROTTLE, POLL } kind;
	worker_addr worker;
	order sent;
	poll_request poll;
	std::string checkpoint;
	order_done done;
	poll_done on_poll_done;
	void *ctx;
	int64_t at;
};

struct Row {
	task_ref ref;
	uint32_t percent = 0;
	uint32_t measure = 0;
	std::string checkpoint;
};

struct End {
	uint64_t number;
	task_ref ref;
	run_end how;
	std::string checkpoint;
};

/* A worker that executes orders as long as it is reachable. */
struct FakeWorker {
	uint64_t born = 1000;
	int64_t clock_offset = 50000;
	bool reachable = true;
	/* false: executes orders, but the replies are lost */
	bool sends_replies = true;
	/* its process has ended: connections are refused */
	bool refuses = false;
	/* confirms stops, but its runs go on */
	bool ignores_stops = false;
	/* another worker listens at its address */
	bool replaced = false;
	std::vector<Row> running;
	std::vector<End> ended;
	uint64_t ends = 0;
	/* Highest run of each task that was stopped or ended here: no start of
	 * it, or of an earlier one, is carried out. */
	std::map<std::tuple<uint64_t, uint32_t, uint32_t, uint32_t>, uint32_t>
		ended_runs;
	uint64_t fence = 0;
	int64_t lease = 0;

	/* On its own clock; a longer lease is shortened to LEASE_MAX_MS. */
	void extend_lease(int64_t deadline, int64_t clock)
	{
		if (deadline > clock + LEASE_MAX_MS)
			deadline = clock + LEASE_MAX_MS;
		if (deadline > lease)
			lease = deadline;
	}

	static const int64_t LEASE_MAX_MS = 6000;
};

class CellWorld
{
      public:
	CellWorld()
	{
		view_ops.accepted = [](void *ctx, job_entry *e) {
			auto w = (CellWorld *)ctx;
			if (w->c)
				cell_job_accepted(w->c, e);
		};
		view_ops.cancelled = [](void *ctx, job_entry *e) {
			auto w = (CellWorld *)ctx;
			if (w->c)
				cell_job_cancelled(w->c, e);
		};
		view_ops.dropped = [](void *ctx, job_entry *e) {
			auto w = (CellWorld *)ctx;
			if (w->c)
				cell_job_dropped(w->c, e);
		};
		ops.now = [](void *ctx) { return ((CellWorld *)ctx)->now; };
		ops.zone_open = [](void *ctx, const char *zone) {
			CellWorld *w = (CellWorld *)ctx;
			w->now += w->pause_in_pass_ms;
			w->pause_in_pass_ms = 0;
			return !w->closed_zones.count(zone);
		};
		ops.queue_service = [](void *, const char *) {
			return (const char *)"pool";
		};
		ops.accounts = [](void *ctx) {
			CellWorld *w = (CellWorld *)ctx;
			return w->config_read
				       ? (const account_table *)&w->accounts
				       : nullptr;
		};
		ops.fenced = [](void *ctx) {
			((CellWorld *)ctx)->fenced = true;
		};
		wops.start = [](void *p, const worker_addr *w, const order *o,
				order_done d, void *ctx) {
			((CellWorld *)p)->add_call(Call::START, w, o, d, ctx);
		};
		wops.stop = [](void *p, const worker_addr *w, const order *o,
			       order_done d, void *ctx) {
			((CellWorld *)p)->add_call(Call::STOP, w, o, d, ctx);
		};
		wops.throttle = [](void *p, const worker_addr *w,
				   const order *o, order_done d, void *ctx) {
			((CellWorld *)p)
				->add_call(Call::THROTTLE, w, o, d, ctx);
		};
		wops.poll = [](void *p, const worker_addr *w,
			       const poll_request *h, poll_done d, void *ctx) {
			Call call = {};
			call.kind = Call::POLL;
			call.worker = *w;
			call.poll = *h;
			call.on_poll_done = d;
			call.ctx = ctx;
			call.at = ((CellWorld *)p)->now;
			((CellWorld *)p)->calls.push_back(call);
			((CellWorld *)p)->polls++;
		};
		opt.lease_ms = 4000;
		opt.lease_max_ms = FakeWorker::LEASE_MAX_MS;
		opt.renew_after_ms = 8000;
		opt.takeover_ms = 12500;
		opt.terminal_retention_ms = 240000;
		opt.poll_wait_ms = 1000;
		opt.violation_ms = 4000;
		job_view_init(&view, &view_ops, this);
	}

	virtual ~CellWorld()
	{
		stop();
		job_view_finish(&view);
		account_table_finish(&accounts);
	}

	void take_over(uint64_t epoch)
	{
		stop();
		c = cell_new(&opt, epoch, &view, &ops, this, &wops, this, now,
			     now);
		for (auto &e : entries)
			announce(e.first);
	}

	/* The next owner is a process that has just started: it reads the
	 * newest record of each key, all of them now. */
	void take_over_on_a_new_host(uint64_t epoch)
	{
		stop();
		rebuild_view();
		take_over(epoch);
	}

	void rebuild_view()
	{
		job_view_finish(&view);
		job_view_init(&view, &view_ops, this);
		for (auto &r : newest)
			job_view_apply(&view, {r.first.data(), r.first.size()},
				       {r.second.data(), r.second.size()}, now);
	}

	/* The owner starts nothing any more, and renews leases. */
	void hand_over()
	{
		handover_ms = now;
		cell_hand_over(c, now);
	}

	int64_t authority_end() const
	{
		return handover_ms ? handover_ms : now + 1000;
	}

	/* Calls in flight end without a reply, as when a host crashes. */
	void stop()
	{
		handover_ms = 0;
		if (!c)
			return;
		cell_stop(c);
		c = nullptr;
		auto out = calls;
		calls.clear();
		drop_unanswered();
		for (auto &call : out)
			drop_call(call);
	}

	void add_worker(const std::string &id, uint32_t cpu = 16000,
			const std::string &zone = "z1")
	{
		workers[id] = FakeWorker();
		worker_entry &e = entries[id];
		memset(&e, 0, sizeof(e));
		name_set(e.addr.id, id.c_str());
		name_set(e.addr.address, (id + ":1").c_str());
		name_set(e.zone, zone.c_str());
		name_set(e.service, "pool");
		name_set(e.labels[0], "a");
		name_set(e.labels[1], "r1");
		e.label_count = 2;
		e.cpu = cpu;
		e.memory_mb = 64000;
		e.born = workers[id].born;
		announce(id);
	}

	/* Replaces the process of a worker, which then knows of no run, stop
	 * and fence, and whose clock begins near 0. */
	void replace_process(const std::string &id)
	{
		FakeWorker &f = workers[id];
		uint64_t born = f.born + 1000;

		for (auto k = running_on.begin(); k != running_on.end();)
			if (k->second.first == id)
				k = running_on.erase(k);
			else
				k++;
		f = FakeWorker();
		f.born = entries[id].born = born;
		f.clock_offset = 100 - now;
	}

	/* Owners raise fences from the next takeover on. */
	void raise_fences()
	{
		newest[FENCES_KEY] = FENCES_RAISED;
		job_view_apply(&view, str_of(FENCES_KEY), str_of(FENCES_RAISED),
			       now);
	}

	/* Starts the first owner and workers of default size; @ms is enough
	 * for them to answer. */
	void begin(const std::vector<std::string> &ids, int64_t ms = 100)
	{
		take_over(1);
		for (auto &id : ids)
			add_worker(id);
		run(ms);
	}

	void announce(const std::string &id)
	{
		if (c)
			cell_worker_update(c, &entries[id]);
	}

	static job_step task_step(uint32_t count, uint32_t cpu = 1000)
	{
		job_step s = {};
		s.count = count;
		s.cpu = cpu;
		s.memory_mb = 100;
		s.estimate_ms = 1000;
		return s;
	}

	/* A latency-critical step with a target of 50 ms that runs until its
	 * job is cancelled. */
	static job_step serving_step(uint32_t count, uint32_t cpu)
	{
		job_step s = task_step(count, cpu);
		s.flags = STEP_LONG_RUNNING;
		s.target_ms = 50;
		name_set(s.image, "front");
		return s;
	}

	/* A best-effort step that resumes from checkpoints. */
	static job_step best_effort_step(uint32_t count, uint32_t cpu)
	{
		job_step s = task_step(count, cpu);
		s.flags = STEP_BEST_EFFORT | STEP_CHECKPOINTS;
		name_set(s.image, "report");
		return s;
	}

	void submit(uint64_t id, std::vector<job_step> steps,
		    uint32_t attempts = 3, uint32_t priority = 0,
		    uint32_t objective_ms = 250, uint32_t stretch_milli = 1500)
	{
		job_spec s = {};
		char key[JOB_KEY_SIZE];
		buf b;

		s.id = id;
		name_set(s.queue, "q");
		name_set(s.service, "pool");
		name_set(s.account, account_name.c_str());
		s.attempts_max = attempts;
		s.priority = priority;
		s.stretch_milli = stretch_milli;
		s.objective_ms = objective_ms;
		s.payload = str_of("payload");
		s.steps.items = steps.data();
		s.steps.count = steps.size();
		buf_init(&b);
		job_spec_write(&s, &b);
		ASSERT_EQ(job_view_apply(&view, job_key(id, 0, key),
					 {b.data, b.len}, now),
			  0);
		newest[key] = std::string(b.data, b.len);
		buf_finish(&b);
	}

	void cancel(uint64_t id)
	{
		char key[JOB_KEY_SIZE];

		job_view_apply(&view, job_key(id, 'c', key), str_of("1"), now);
	}

	/* A caller cancels a job that no record shows. */
	void cancel_unknown(uint64_t id)
	{
		char text[JOB_KEY_SIZE];
		str key = job_key(id, 'c', text);
		buf b;

		buf_init(&b);
		job_entry_write_cancel(NULL, "", &b);
		job_view_apply(&view, key, {b.data, b.len}, now);
		newest[{key.data, key.len}] = std::string(b.data, b.len);
		buf_finish(&b);
	}

	virtual void tick()
	{
		cell_tick(c, now, now);
	}

	virtual void reply_to_poll(Call &call, const poll_reply &h)
	{
		call.on_poll_done(call.ctx, &call.worker, &h);
	}

	/* Stores the cell's pending records and applies them to the view. */
	virtual void commit()
	{
		buf b;

		buf_init(&b);
		if (cell_take_batch(c, &b)) {
			apply(b);
			cell_batch_stored(c);
		}
		buf_finish(&b);
	}

	/* Advances the time in steps of 5 ms; workers answer all calls, and the
	 * store accepts all batches while @storing is set. */
	void run(int64_t ms)
	{
		for (int64_t end = now + ms; now < end;) {
			now += 5;
			cell_set_authority(c, authority ? authority_end() : 0);
			tick();
			if (storing)
				commit();
			answer_all();
		}
	}

	/* Runs end when their lease does, also on a worker that nobody calls.
	 */
	void expire_all()
	{
		for (auto &w : workers)
			expire_lease(w.second);
	}

	/* Called when a worker has started a run. */
	virtual void on_start(const std::string &worker, const order &sent)
	{
		(void)worker;
		(void)sent;
	}

	Row *find(uint64_t job, uint32_t step = 0, uint32_t index = 0)
	{
		for (auto &w : workers)
			for (auto &r : w.second.running)
				if (r.ref.job == job && r.ref.step == step &&
				    r.ref.index == index)
					return &r;
		return nullptr;
	}

	size_t runs(uint64_t job)
	{
		size_t n = 0;

		for (auto &w : workers)
			for (auto &r : w.second.running)
				n += r.ref.job == job;
		return n;
	}

	void end(uint64_t job, run_end how, uint32_t step = 0,
		 uint32_t index = 0)
	{
		for (auto &w : workers)
			for (size_t i = 0; i < w.second.running.size(); i++) {
				task_ref r = w.second.running[i].ref;
				if (r.job != job || r.step != step ||
				    r.index != index)
					continue;
				end_at(w.second, i, how);
				return;
			}
		FAIL() << "no worker runs job " << job << " step " << step
		       << " index " << index;
	}

	void end_all(uint64_t job, run_end how)
	{
		for (auto &w : workers)
			for (size_t i = w.second.running.size(); i-- > 0;)
				if (w.second.running[i].ref.job == job)
					end_at(w.second, i, how);
	}

	void end_at(FakeWorker &w, size_t i, run_end how)
	{
		End e = {++w.ends, w.running[i].ref, how, ""};

		auto range = running_on.equal_range(task_key(e.ref));
		for (auto k = range.first; k != range.second; k++)
			if (k->second.second == e.ref.run) {
				running_on.erase(k);
				break;
			}

		note_ended(w, e.ref);
		if (how == RUN_STOPPED)
			e.checkpoint = "saved";
		w.ended.push_back(e);
		w.running.erase(w.running.begin() + (long)i);
	}

	uint32_t state(uint64_t job)
	{
		return job_view_get(&view, job)->state;
	}

	struct cell_counts counts()
	{
		struct cell_counts n;

		cell_get_counts(c, &n);
		return n;
	}

	void answer_all()
	{
		auto out = calls;

		calls.clear();
		for (auto &call : out)
			answer(call);
	}

	/* Takes call @i out of those that wait for an answer. */
	Call take(size_t i)
	{
		Call call = calls[i];

		calls.erase(calls.begin() + (long)i);
		return call;
	}

	/* Ends the calls in @unanswered without a reply. */
	void drop_unanswered()
	{
		auto out = unanswered;

		unanswered.clear();
		for (auto &call : out)
			drop_call(call);
	}

	/* Answers an order as a process that is gone since has done. */
	void answer_as(Call call, order_status status)
	{
		finish_call(call, status);
	}

	void answer(Call &call)
	{
		FakeWorker &w = workers[call.worker.id];

		if (w.replaced) {
			finish_call(call, ORDER_RESTARTED);
			return;
		}
		if (w.refuses) {
			finish_call(call, ORDER_NOT_SENT);
			return;
		}
		if (!w.reachable) {
			drop_call(call);
			return;
		}
		if (call.kind == Call::POLL && long_polls && w.ended.empty() &&
		    now < call.at + call.poll.wait_ms)
			calls.push_back(call);
		else if (call.kind == Call::POLL)
			answer_poll(w, call);
		else
			execute(w, call);
	}

	struct Limit {
		std::string name;
		uint64_t cpu = 0;
		uint64_t memory_mb = 0;
		uint64_t accelerators = 0;
		uint32_t weight = 1;
	};

	/* Publishes a configuration with these client accounts. */
	void set_accounts(const std::vector<Limit> &all)
	{
		account_table_finish(&accounts);
		account_table_init(&accounts, all.size());
		for (size_t i = 0; i < all.size(); i++) {
			account *a = &accounts.accounts[i];

			name_set(a->name, all[i].name.c_str());
			a->cpu_max = all[i].cpu;
			a->memory_max_mb = all[i].memory_mb;
			a->accelerators_max = all[i].accelerators;
			a->weight = all[i].weight;
			account_table_add_name(&accounts, i);
		}
	}

	cell *c = nullptr;
	account_table accounts = {};
	bool config_read = true;
	/* Client account of the jobs submitted next. */
	std::string account_name;
	job_view view;
	int64_t now = 100000;
	bool authority = true;
	int64_t handover_ms = 0; /* 0 without a handover */
	/* The process is paused for this long within the next placement pass.
	 */
	int64_t pause_in_pass_ms = 0;
	bool storing = true;
	bool fenced = false;
	/* Answer polls only when a run ends or wait_ms is over, as real workers
	 * do. */
	bool long_polls = false;
	std::set<std::string> closed_zones;
	std::map<std::string, FakeWorker> workers;
	std::map<std::string, worker_entry> entries;
	std::vector<Call> calls;
	/* Calls that the test ends by drop_unanswered(). */
	std::vector<Call> unanswered;
	size_t polls = 0;
	/* Newest stored record of each key; cancellations are not kept. */
	std::map<std::string, std::string> newest;
	/* Workers that ran a task when it was started a second time. */
	std::vector<std::string> duplicates;
	std::vector<order> starts;
	/* Checkpoint that the last start of a task passed, by index. */
	std::map<uint32_t, std::string> checkpoints;
	std::map<std::string, uint8_t> paces;
	cell_options opt = {};

      protected:
	void add_call(Call::Kind kind, const worker_addr *w, const order *o,
		      order_done d, void *ctx)
	{
		Call call = {};
		call.kind = kind;
		call.worker = *w;
		call.sent = *o;
		if (o->checkpoint)
			call.checkpoint = o->checkpoint;
		call.done = d;
		call.ctx = ctx;
		calls.push_back(call);
	}

	void drop_call(Call &call)
	{
		finish_call(call, ORDER_UNKNOWN);
	}

	void finish_call(Call &call, order_status status)
	{
		order_reply r = {status, 0};
		poll_reply h = {};

		h.status = status;
		h.refused = status == ORDER_NOT_SENT;
		if (call.kind == Call::POLL)
			reply_to_poll(call, h);
		else
			call.done(call.ctx, &call.worker, &call.sent.ref, &r);
	}

	typedef std::tuple<uint64_t, uint32_t, uint32_t, uint32_t> TaskKey;

	/* A worker lists this many ends in one reply. */
	static const size_t ENDED_PAGE = 500;

	static TaskKey task_key(const task_ref &r)
	{
		return TaskKey(r.job, r.occurrence, r.step, r.index);
	}

	static bool is_same_task(const task_ref &a, const task_ref &b)
	{
		return a.job == b.job && a.occurrence == b.occurrence &&
		       a.step == b.step && a.index == b.index;
	}

	void note_ended(FakeWorker &w, const task_ref &r)
	{
		uint32_t &run = w.ended_runs[task_key(r)];

		if (r.run > run)
			run = r.run;
	}

	void start(FakeWorker &w, Call &call)
	{
		auto range = running_on.equal_range(task_key(call.sent.ref));
		for (auto i = range.first; i != range.second; i++)
			if (i->second.first != call.worker.id ||
			    i->second.second != call.sent.ref.run)
				duplicates.push_back(i->second.first);
		Row row;
		row.ref = call.sent.ref;
		w.running.push_back(row);
		running_on.emplace(task_key(call.sent.ref),
				   std::make_pair(call.worker.id,
						  call.sent.ref.run));
		starts.push_back(call.sent);
		checkpoints[call.sent.ref.index] = call.checkpoint;
		on_start(call.worker.id, call.sent);
	}

	void execute(FakeWorker &w, Call &call)
	{
		order_reply r = {ORDER_OK, now + w.clock_offset};

		expire_lease(w);
		if (call.sent.fence < w.fence) {
			r.status = ORDER_FENCED;
		} else if (call.kind == Call::START) {
			w.fence = call.sent.fence;
			w.extend_lease(call.sent.lease_deadline_ms, r.clock);
			if (w.ended_runs[task_key(call.sent.ref)] >=
			    call.sent.ref.run)
				r.status = ORDER_STALE_RUN;
			else
				start(w, call);
		} else if (call.kind == Call::STOP) {
			w.fence = call.sent.fence;
			note_ended(w, call.sent.ref);
			for (size_t i = 0;
			     !w.ignores_stops && i < w.running.size(); i++)
				if (is_same_task(w.running[i].ref,
						 call.sent.ref))
					end_at(w, i--, RUN_STOPPED);
		} else {
			paces[call.worker.id] =
				(uint8_t)call.sent.speed_percent;
		}
		if (w.sends_replies)
			call.done(call.ctx, &call.worker, &call.sent.ref, &r);
		else
			drop_call(call);
	}

	/* Ends all runs of a worker whose lease has expired. */
	void expire_lease(FakeWorker &w)
	{
		if (now + w.clock_offset < w.lease)
			return;
		while (!w.running.empty())
			end_at(w, 0, RUN_EXPIRED);
	}

	void answer_poll(FakeWorker &w, Call &call)
	{
		std::vector<run_row> rows;
		std::vector<ended_run> ends;
		poll_reply h = {};

		expire_lease(w);
		if (call.poll.fence < w.fence) {
			h.status = ORDER_FENCED;
			reply_to_poll(call, h);
			return;
		}
		w.fence = call.poll.fence;
		w.extend_lease(call.poll.lease_deadline_ms,
			       now + w.clock_offset);
		for (size_t i = 0; i < w.ended.size();)
			if (w.ended[i].number <= call.poll.ack)
				w.ended.erase(w.ended.begin() + (long)i);
			else
				i++;
		for (auto &r : w.running) {
			run_row row = {};
			row.ref = r.ref;
			row.progress_percent = r.percent;
			row.measure = r.measure;
			snprintf(row.checkpoint, sizeof(row.checkpoint), "%s",
				 r.checkpoint.c_str());
			rows.push_back(row);
		}
		for (auto &e : w.ended) {
			if (ends.size() == ENDED_PAGE)
				break;
			ended_run row = {};
			row.number = e.number;
			row.ref = e.ref;
			row.how = e.how;
			snprintf(row.checkpoint, sizeof(row.checkpoint), "%s",
				 e.checkpoint.c_str());
			ends.push_back(row);
		}
		h.born = w.born;
		h.clock = now + w.clock_offset;
		h.sent_ms = now;
		h.running = rows.data();
		h.running_count = rows.size();
		h.ended = ends.data();
		h.ended_count = ends.size();
		reply_to_poll(call, h);
	}

	void apply(const buf &b)
	{
		for (size_t at = 0; at < b.len;) {
			const unsigned char *p =
				(const unsigned char *)b.data + at;
			size_t len = (size_t)p[0] << 24 | (size_t)p[1] << 16 |
				     (size_t)p[2] << 8 | p[3];
			str key = {(const char *)p + 5, p[4]};
			str value = {key.data + key.len, len - 1 - key.len};

			job_view_apply(&view, key, value, now);
			newest[std::string(key.data, key.len)] =
				std::string(value.data, value.len);
			at += 4 + len;
		}
	}

	/* Worker and number of each run that is active. */
	std::multimap<TaskKey, std::pair<std::string, uint32_t>> running_on;
	job_view_ops view_ops;
	cell_ops ops;
	worker_ops wops;
};

#endif
