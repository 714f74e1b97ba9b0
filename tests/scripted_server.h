#ifndef TESTS_SCRIPTED_SERVER_H
#define TESTS_SCRIPTED_SERVER_H

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * An HTTP server that handles its requests by a script, one connection at a
 * time: each request is carried out and answered with its status, or its
 * connection ends without an answer.
 */
class ScriptedServer
{
      public:
	enum { RESET = -1, CLOSE = 0 }; /* instead of a status */

	explicit ScriptedServer(std::vector<int> script,
				std::string reply_body = "{}")
	    : steps(std::move(script)), body(std::move(reply_body))
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
		thread = std::thread([this] { serve(); });
	}

	~ScriptedServer()
	{
		stopping = true;
		shutdown(listen_fd, SHUT_RDWR);
		close_connection();
		thread.join();
		close(listen_fd);
	}

	/* Ends the open connection between two requests. */
	void close_connection()
	{
		shutdown(conn_fd, SHUT_RDWR);
	}

	std::string address;
	std::atomic<int> requests{0};
	std::atomic<int> connections{0};

      private:
	void serve()
	{
		while (!stopping) {
			int fd = accept(listen_fd, nullptr, nullptr);

			if (fd < 0)
				return;
			conn_fd = fd;
			connections++;
			while (!stopping && take_request(fd) && handle(fd))
				;
			conn_fd = -1;
			close(fd);
		}
	}

	/* Reads up to the end of the body. */
	static bool take_request(int fd)
	{
		std::string text;
		size_t head, length = 0, at;
		char c;

		while ((head = text.find("\r\n\r\n")) == std::string::npos) {
			if (read(fd, &c, 1) != 1)
				return false;
			text += c;
		}
		at = text.find("Content-Length: ");
		if (at != std::string::npos)
			length = strtoul(text.c_str() + at + 16, nullptr, 10);
		for (; length; length--)
			if (read(fd, &c, 1) != 1)
				return false;
		return true;
	}

	bool handle(int fd)
	{
		size_t n = (size_t)requests++;
		int status = n < steps.size() ? steps[n] : 500;
		linger abort = {1, 0};
		std::string reply =
			"HTTP/1.1 " + std::to_string(status) +
			" x\r\nContent-Length: " + std::to_string(body.size()) +
			"\r\n\r\n" + body;

		if (status == RESET)
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort,
				   sizeof(abort));
		return status > 0 &&
		       send(fd, reply.data(), reply.size(), MSG_NOSIGNAL) > 0;
	}

	std::vector<int> steps;
	std::string body;
	int listen_fd;
	std::atomic<int> conn_fd{-1};
	std::atomic<bool> stopping{false};
	std::thread thread;
};

#endif
