#ifndef TESTS_SCRIPTED_SERVER_H
#define TESTS_SCRIPTED_SERVER_H

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * An HTTP server that handles its requests by a script: each one is carried out
 * and answered with its status, or not answered.
 * Requests of a method other than @only are answered 200.
 */
class ScriptedServer
{
      public:
	/* Instead of a status; after HANG the connection stays open. */
	enum { HANG = -2, RESET = -1, CLOSE = 0 };

	explicit ScriptedServer(std::vector<int> script,
				std::string reply_body = "{}",
				std::string only_method = "")
	    : steps(std::move(script)), body(std::move(reply_body)),
	      only(std::move(only_method))
	{
		sockaddr_in sin = {};
		socklen_t len = sizeof(sin);

		listen_fd = socket(AF_INET, SOCK_STREAM, 0);
		sin.sin_family = AF_INET;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(listen_fd, (sockaddr *)&sin, len);
		listen(listen_fd, 16);
		getsockname(listen_fd, (sockaddr *)&sin, &len);
		address = "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
		acceptor = std::thread([this] { accept_all(); });
	}

	~ScriptedServer()
	{
		stopping = true;
		shutdown(listen_fd, SHUT_RDWR);
		acceptor.join();
		close_connections();
		for (std::thread &t : handlers)
			t.join();
		for (int fd : accepted)
			close(fd);
		close(listen_fd);
	}

	/* Ends the open connections between two requests. */
	void close_connections()
	{
		std::lock_guard<std::mutex> hold(lock);

		for (int fd : accepted)
			shutdown(fd, SHUT_RDWR);
	}

	/* The open connections take requests and answer none of them any more;
	 * new ones work. */
	void silence_connections()
	{
		std::lock_guard<std::mutex> hold(lock);

		silent.insert(accepted.begin(), accepted.end());
	}

	/* Sends each reply in @n pieces with a pause before each; the last
	 * @missing of them are not sent. */
	void send_in_pieces(size_t n, int64_t pause_ms, size_t missing = 0)
	{
		pieces = n;
		piece_pause_ms = pause_ms;
		pieces_missing = missing;
	}

	std::string address;
	std::atomic<int> requests{0}; /* that the script was for */
	std::atomic<int> connections{0};

      private:
	void accept_all()
	{
		int fd;

		while ((fd = accept(listen_fd, nullptr, nullptr)) >= 0) {
			std::lock_guard<std::mutex> hold(lock);

			connections++;
			accepted.push_back(fd);
			handlers.emplace_back([this, fd] { serve(fd); });
		}
	}

	/* The descriptor stays open, so that its number is not used again. */
	void serve(int fd)
	{
		std::string method;

		while (!stopping && take_request(fd, method) &&
		       handle(fd, method))
			;
		shutdown(fd, SHUT_RDWR);
	}

	/* Reads up to the end of the body. */
	static bool take_request(int fd, std::string &method)
	{
		std::string text;
		size_t head, length = 0, at;
		char c;

		while ((head = text.find("\r\n\r\n")) == std::string::npos) {
			if (read(fd, &c, 1) != 1)
				return false;
			text += c;
		}
		method = text.substr(0, text.find(' '));
		at = text.find("Content-Length: ");
		if (at != std::string::npos)
			length = strtoul(text.c_str() + at + 16, nullptr, 10);
		for (; length; length--)
			if (read(fd, &c, 1) != 1)
				return false;
		return true;
	}

	bool is_silent(int fd)
	{
		std::lock_guard<std::mutex> hold(lock);

		return silent.count(fd) > 0;
	}

	int next_status(const std::string &method)
	{
		size_t n;

		if (!only.empty() && method != only)
			return 200;
		n = (size_t)requests++;
		return n < steps.size() ? steps[n] : 500;
	}

	bool handle(int fd, const std::string &method)
	{
		if (is_silent(fd))
			return true;
		int status = next_status(method);
		sockaddr none = {};
		std::string reply =
			"HTTP/1.1 " + std::to_string(status) +
			" x\r\nContent-Length: " + std::to_string(body.size()) +
			"\r\n\r\n" + body;

		none.sa_family = AF_UNSPEC;
		if (status == RESET) /* this connect() resets the connection */
			connect(fd, &none, sizeof(none));
		if (status == HANG)
			return true;
		return status > 0 && send_reply(fd, reply);
	}

	bool send_reply(int fd, const std::string &reply)
	{
		size_t part = reply.size() / pieces, i;

		for (i = 0; i + pieces_missing < pieces; i++) {
			size_t at = i * part, end = at + part;

			if (i + 1 == pieces)
				end = reply.size();
			std::this_thread::sleep_for(
				std::chrono::milliseconds(piece_pause_ms));
			if (send(fd, reply.data() + at, end - at,
				 MSG_NOSIGNAL) <= 0)
				return false;
		}
		return true;
	}

	std::vector<int> steps;
	std::string body;
	std::string only;
	std::atomic<size_t> pieces{1};
	std::atomic<int64_t> piece_pause_ms{0};
	std::atomic<size_t> pieces_missing{0};
	int listen_fd;
	std::atomic<bool> stopping{false};
	std::mutex lock; /* guards @accepted, @silent and @handlers */
	std::vector<int> accepted;
	std::set<int> silent;
	std::vector<std::thread> handlers;
	std::thread acceptor;
};

#endif
