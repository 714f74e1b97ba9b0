#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <deque>
#include <string>
#include <thread>

#include "base/logger.h"

namespace
{

/* A process whose output is a pipe. */
class LoggerOnPipe : public testing::Test
{
      protected:
	void SetUp() override
	{
		ASSERT_EQ(pipe(fds), 0);
		out = fdopen(fds[1], "w");
		logger_set_output(out);
		logger_start();
	}

	void TearDown() override
	{
		logger_stop();
		logger_set_output(stderr);
		fclose(out);
		close(fds[0]);
	}

	/* Events are limited by their address: each line has one of its own. */
	void log(enum log_level level, const char *prefix)
	{
		events.push_back(prefix + std::to_string(events.size()));
		log_line(level, events.back().c_str(), "text=%0200d", 7);
	}

	/* Reads what comes until nothing has come for 300 ms. */
	std::string read_all()
	{
		pollfd p = {fds[0], POLLIN, 0};
		std::string text;
		char part[4096];
		ssize_t n;

		while (poll(&p, 1, 300) == 1) {
			n = read(fds[0], part, sizeof(part));
			if (n <= 0)
				break;
			text.append(part, (size_t)n);
		}
		return text;
	}

	static size_t count(const std::string &text, const std::string &what)
	{
		size_t n = 0;

		for (size_t at = 0; (at = text.find(what, at)) != text.npos;
		     at += what.size())
			n++;
		return n;
	}

	/* Sum of the lines that are reported as dropped. */
	static size_t dropped(const std::string &text)
	{
		const std::string what =
			"event=\"log lines dropped: reader too slow\" lines=";
		size_t sum = 0;

		for (size_t at = 0; (at = text.find(what, at)) != text.npos;) {
			at += what.size();
			sum += std::stoul(text.substr(at));
		}
		return sum;
	}

	int fds[2];
	FILE *out;
	std::deque<std::string> events;
};

/* Event loops hung in write() once nobody read their logs. */
TEST_F(LoggerOnPipe, DoesNotWaitForItsReader)
{
	auto began = std::chrono::steady_clock::now();
	size_t lines = 0;

	for (int i = 0; i < 3000; i++)
		log(LOG_INFO, "ordinary-");
	for (int i = 0; i < 200; i++)
		log(LOG_ERROR, "error-");
	EXPECT_LT(std::chrono::steady_clock::now() - began,
		  std::chrono::seconds(5));
	std::string text = read_all();
	EXPECT_EQ(count(text, "event=\"error-"), 200u)
		<< "errors are dropped last";
	lines = count(text, "event=\"ordinary-");
	EXPECT_LT(lines, 3000u);
	EXPECT_GT(lines, 0u);
	log(LOG_INFO, "later-");
	text += read_all();
	EXPECT_EQ(count(text, "event=\"later-"), 1u);
	EXPECT_EQ(dropped(text), 3000 - lines);
}

TEST_F(LoggerOnPipe, WritesAllLinesInOrderBeforeItStops)
{
	for (int i = 0; i < 100; i++)
		log(LOG_INFO, "line-");
	logger_stop();
	std::string text = read_all();
	size_t at = 0;
	for (auto &e : events) {
		at = text.find("event=\"" + e + "\"", at);
		ASSERT_NE(at, text.npos) << e;
	}
}

/* A process that stops does not wait for a reader that stands still, also if
 * the logger is stopped again at exit(), and it may start the logger again. */
TEST_F(LoggerOnPipe, StopsWhileItsReaderStandsStill)
{
	auto began = std::chrono::steady_clock::now();

	for (int i = 0; i < 3000; i++)
		log(LOG_INFO, "line-");
	logger_stop();
	logger_stop();
	log(LOG_ERROR, "after-");
	EXPECT_LT(std::chrono::steady_clock::now() - began,
		  std::chrono::seconds(5));
	EXPECT_EQ(count(read_all(), "after-"), 0u); /* the thread ends */
	logger_start();
	log(LOG_INFO, "again-");
	EXPECT_EQ(count(read_all(), "event=\"again-"), 1u);
}

TEST_F(LoggerOnPipe, TakesLinesOfSeveralThreads)
{
	std::deque<std::string> names;
	std::deque<std::thread> threads;

	for (int i = 0; i < 4; i++)
		names.push_back("thread-" + std::to_string(i));
	for (auto &name : names)
		threads.emplace_back([&name] {
			for (int i = 0; i < 10; i++)
				log_line(LOG_INFO, name.c_str(), "i=%d", i);
		});
	for (auto &t : threads)
		t.join();
	EXPECT_EQ(count(read_all(), "event=\"thread-"), 40u);
}

} /* namespace */
