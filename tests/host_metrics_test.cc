#include <memory>

#include "base/build_info.h"
#include "host/host.h"
#include "tests/cell_world.h"

namespace
{

std::string metrics_of(const CellWorld &w)
{
	std::unique_ptr<host> h(new host());
	std::string text;
	buf b;

	h->owner.cell = w.c;
	buf_init(&b);
	host_write_metrics(h.get(), &b);
	text.assign(b.data, b.len);
	buf_finish(&b);
	return text;
}

void expect_line(const std::string &text, const std::string &line)
{
	EXPECT_NE(("\n" + text).find("\n" + line + "\n"), std::string::npos)
		<< "no line '" << line << "' in\n"
		<< text;
}

/* A report on a fault that does not name the build may be about another one. */
TEST(HostMetrics, TellsWhatTheHostWasBuiltFrom)
{
	std::unique_ptr<host> h(new host());
	std::string text;
	buf b;

	buf_init(&b);
	host_write_metrics(h.get(), &b);
	text.assign(b.data, b.len);
	buf_finish(&b);
	expect_line(text, std::string("basilshift_build_info{commit=\"") +
				  build_info.commit + "\",sources=\"" +
				  build_info.sources + "\"} 1");
}

/* Operators tell from these which hosts have no recent configuration. */
TEST(HostMetrics, TellsTheAgeOfTheConfiguration)
{
	std::unique_ptr<host> h(new host());
	std::string text;
	buf b;

	h->now_ms = 5000;
	h->operator_follower.caught_up_ms = 3800;
	h->queues.version = 17;
	h->counts.configs_applied = 4;
	h->counts.unknown_queue = 2;
	buf_init(&b);
	host_write_metrics(h.get(), &b);
	text.assign(b.data, b.len);
	buf_finish(&b);
	expect_line(text, "basilshift_config_version 17");
	expect_line(text, "basilshift_config_age_ms 1200");
	expect_line(text, "basilshift_configs_applied 4");
	expect_line(text, "basilshift_unknown_queue 2");
}

/* Operators tell from these that callers are over their limits. */
TEST(HostMetrics, TellsTheMemoryOfRequests)
{
	std::unique_ptr<host> h(new host());
	std::string text;
	buf b;

	h->callers.memory.connections = 7;
	h->callers.memory.held = 5000;
	h->callers.counts.uploads_refused = 3;
	buf_init(&b);
	host_write_metrics(h.get(), &b);
	text.assign(b.data, b.len);
	buf_finish(&b);
	expect_line(text, "basilshift_caller_connections 7");
	expect_line(text, "basilshift_caller_body_bytes 5000");
	expect_line(text, "basilshift_caller_uploads_refused 3");
}

/* Operators tell from these why short work waits on a full cell. */
TEST(HostMetrics, TellsTheUseOfTheCell)
{
	job_step lasting = CellWorld::serving_step(1, 3000);
	CellWorld w;

	w.begin({"w1"});
	w.submit(7, {lasting});
	w.run(200);
	w.submit(8, {CellWorld::task_step(1, 7000)});
	w.run(200);
	w.submit(9, {CellWorld::task_step(1, 8000)});
	w.run(3000);
	std::string text = metrics_of(w);
	expect_line(text, "basilshift_cell_cores{held_by=\"short\"} 7");
	expect_line(text, "basilshift_cell_cores{held_by=\"long_running\"} 3");
	expect_line(text, "basilshift_cell_free_cores{piece=\"below_8th\"} 0");
	expect_line(text, "basilshift_cell_free_cores{piece=\"below_4th\"} 0");
	expect_line(text, "basilshift_cell_free_cores{piece=\"below_half\"} 6");
	expect_line(text, "basilshift_cell_free_cores{piece=\"larger\"} 0");
	expect_line(text, "basilshift_cell_short_accepted_core_seconds_sum 15");
	expect_line(text, "basilshift_cell_short_accepted_core_seconds_bucket"
			  "{le=\"4\"} 0");
	expect_line(text, "basilshift_cell_short_accepted_core_seconds_bucket"
			  "{le=\"8\"} 2");
	expect_line(text,
		    "basilshift_cell_short_completed_core_seconds_count 0");
	expect_line(text, "basilshift_cell_short_in_time_core_seconds_count 0");
	size_t at = text.find("basilshift_cell_short_wait_ms ");
	ASSERT_NE(at, std::string::npos);
	EXPECT_GT(std::stoi(text.substr(text.find(' ', at))), 1000);
}

} // namespace
