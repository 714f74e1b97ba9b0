#include <gtest/gtest.h>

#include <memory>

#include "host/host_call.h"
#include "tests/fake_store.h"

namespace
{

/* A host that appends callers' records itself. Its calls have no caller that
 * waits for an answer. */
class HostAppend : public testing::Test
{
      protected:
	HostAppend() : h(new host())
	{
		ops = store.ops;
		ops.append = [](void *p, const store_append *a, store_done d,
				void *ctx) {
			HostAppend *t = (HostAppend *)p;
			t->bytes.push_back(a->records.len);
			t->store.ops.append(&t->store, a, d, ctx);
		};
		jobs.accepted = [](void *, job_entry *) {};
		jobs.cancelled = [](void *, job_entry *) {};
		jobs.dropped = [](void *, job_entry *) {};
		job_view_init(&h->job_view, &jobs, nullptr);
		h->owner.store = &ops;
		h->owner.port = this;
		h->owner.options.record_max_bytes = 1000;
		h->owner.options.append_max_bytes = 4000;
	}

	~HostAppend() override
	{
		for (auto &c : calls)
			buf_finish(&c->record);
		job_view_finish(&h->job_view);
	}

	void add_call(size_t size)
	{
		calls.emplace_back(new host_call());
		host_call *c = calls.back().get();
		c->id = calls.size();
		buf_init(&c->record);
		buf_adds(&c->record, std::string(size, 'x').c_str());
		call_queue_append(h.get(), c);
	}

	void run()
	{
		for (int i = 0; i < 20; i++) {
			host_append_queue_send(h.get());
			store.run();
		}
	}

	std::unique_ptr<host> h;
	FakeStore store;
	store_ops ops;
	job_view_ops jobs = {};
	std::vector<std::unique_ptr<host_call>> calls;
	std::vector<size_t> bytes;
};

/* A burst of submissions filled one append beyond what the store accepts, which
 * refused it, and all its callers, as long as they waited. */
TEST_F(HostAppend, KeepsToTheLargestAppendOfTheStore)
{
	for (int i = 0; i < 20; i++)
		add_call(900);
	run();
	EXPECT_EQ(store.topics[TOPIC_JOBS].size(), 20u);
	for (size_t n : bytes)
		EXPECT_LE(n, 4000u);
}

/* A record that the store cannot take made it refuse those beside it. */
TEST_F(HostAppend, RefusesARecordThatIsTooLargeAndNoOther)
{
	add_call(900);
	add_call(1001);
	add_call(900);
	run();
	EXPECT_EQ(store.topics[TOPIC_JOBS].size(), 2u);
	EXPECT_FALSE(calls[1]->append_pending);
	EXPECT_EQ(h->append_queue, nullptr);
	EXPECT_EQ(h->batches_in_flight, 0u);
}

/* The key counts as part of the record: one whose value alone was as long as a
 * record may be made the store refuse those beside it. */
TEST_F(HostAppend, CountsTheKeyAsPartOfTheRecord)
{
	const size_t key_bytes = 1 + 16;

	add_call(1000 - key_bytes);
	add_call(1000 - key_bytes + 1);
	add_call(1000);
	run();
	EXPECT_EQ(store.topics[TOPIC_JOBS].size(), 1u);
	EXPECT_EQ(h->append_queue, nullptr);
}

/* The answer to an append was lost, and the caller was told that its job had
 * not been accepted: the job ran. */
TEST_F(HostAppend, WithdrawsNoRecordThatMayBeStored)
{
	add_call(10);
	EXPECT_TRUE(call_withdraw(h.get(), calls[0].get()));
	add_call(10);
	store.mode = FakeStore::LOSE_REPLIES;
	host_append_queue_send(h.get());
	EXPECT_FALSE(call_withdraw(h.get(), calls[1].get()));
	store.run();
	EXPECT_FALSE(call_withdraw(h.get(), calls[1].get()));
	EXPECT_EQ(store.topics[TOPIC_JOBS].size(), 1u);
	add_call(10);
	store.mode = FakeStore::REFUSE;
	h->append_due_ms = 0;
	h->store_failures = 0;
	host_append_queue_send(h.get());
	store.run();
	EXPECT_TRUE(call_withdraw(h.get(), calls[2].get()));
}

/* Against rejected jobs that ran: after an append without an answer, refusals
 * of the same record say nothing about the first one. */
TEST_F(HostAppend, RefusesNoCallWhoseRecordMayBeStored)
{
	add_call(10);
	store.mode = FakeStore::LOSE_REPLIES;
	host_append_queue_send(h.get());
	store.run();
	EXPECT_TRUE(calls[0]->may_be_stored);
	call_queue_append(h.get(), calls[0].get());
	store.mode = FakeStore::REFUSE;
	h->append_due_ms = 0;
	host_append_queue_send(h.get());
	store.run();
	EXPECT_TRUE(calls[0]->may_be_stored);
	EXPECT_FALSE(call_withdraw(h.get(), calls[0].get()));
}

} /* namespace */
