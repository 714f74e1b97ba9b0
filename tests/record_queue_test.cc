#include "host/record_queue.h"

#include <gtest/gtest.h>

#include <string>
#include <tuple>
#include <vector>

namespace
{

class RecordQueue : public testing::Test
{
      protected:
	RecordQueue()
	{
		record_queue_init(
			&q,
			[](void *ctx, uint64_t from, uint64_t seq,
			   store_status status) {
				((RecordQueue *)ctx)
					->outcomes.push_back(
						{from, seq, status});
			},
			this);
		buf_init(&batch);
	}

	~RecordQueue()
	{
		record_queue_finish(&q);
		buf_finish(&batch);
	}

	void add(uint64_t from, uint64_t seq, const std::string &records)
	{
		record_queue_add(&q, from, seq,
				 {records.data(), records.size()});
	}

	std::string take(size_t share)
	{
		size_t n;

		buf_clear(&batch);
		n = record_queue_take(&q, share, &batch);
		EXPECT_EQ(n, batch.len);
		return std::string(batch.data ? batch.data : "", batch.len);
	}

	record_queue q;
	buf batch;
	std::vector<std::tuple<uint64_t, uint64_t, store_status>> outcomes;
};

/* Records that do not fit into a batch were told the outcome of the records
 * that did. */
TEST_F(RecordQueue, EndsTheRecordsOfABatchOnly)
{
	add(1, 1, "aaaa");
	add(2, 1, "bbbb");
	EXPECT_EQ(take(6), "aaaa");
	record_queue_end_batch(&q, STORE_OK);
	ASSERT_EQ(outcomes.size(), 1u);
	EXPECT_EQ(outcomes[0], std::make_tuple(1u, 1u, STORE_OK));
	EXPECT_EQ(take(6), "bbbb");
	record_queue_refuse_waiting(&q);
	EXPECT_EQ(outcomes.size(), 1u);
	record_queue_end_batch(&q, STORE_UNKNOWN);
	EXPECT_EQ(outcomes[1], std::make_tuple(2u, 1u, STORE_UNKNOWN));
}

/* Records longer than the share of a batch would wait for ever. */
TEST_F(RecordQueue, TakesTheOldestRecordsWhateverTheirLength)
{
	add(1, 1, "aaaaaaaa");
	add(2, 1, "b");
	EXPECT_EQ(take(4), "aaaaaaaa");
	EXPECT_EQ(take(4), "b");
}

/* A withdrawn set left a gap, and the sets behind it were cut in the wrong
 * place. */
TEST_F(RecordQueue, WithdrawsWaitingRecordsOnly)
{
	add(1, 1, "aa");
	EXPECT_EQ(take(0), "aa");
	add(1, 2, "bbb");
	add(2, 7, "cc");
	add(1, 3, "d");
	EXPECT_FALSE(record_queue_withdraw(&q, 1, 1)); /* in the batch */
	EXPECT_TRUE(record_queue_withdraw(&q, 1, 2));
	EXPECT_FALSE(record_queue_withdraw(&q, 1, 2));
	EXPECT_EQ(take(2), "cc");
	EXPECT_EQ(take(2), "d");
	EXPECT_TRUE(outcomes.empty());
}

/* Records that were never sent were reported as possibly stored. */
TEST_F(RecordQueue, RefusesWhatWaits)
{
	add(1, 1, "aa");
	EXPECT_EQ(take(0), "aa");
	add(1, 2, "bb");
	record_queue_refuse_waiting(&q);
	ASSERT_EQ(outcomes.size(), 1u);
	EXPECT_EQ(outcomes[0], std::make_tuple(1u, 2u, STORE_REFUSED));
	EXPECT_EQ(take(0), "");
}

} /* namespace */
