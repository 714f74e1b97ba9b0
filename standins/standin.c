#include "standins/standin.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>

#define PATH_SIZE 512

static volatile sig_atomic_t stop_requested;

static void on_signal(int sig)
{
	(void)sig;
	stop_requested = 1;
}

int standin_init(struct settings *s, int argc, char **argv)
{
	int code = settings_parse(s, argc, argv);

	if (code >= 0) {
		settings_finish(s);
		return code;
	}
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGPIPE, SIG_IGN);
	return -1;
}

bool standin_is_stopping(void)
{
	return stop_requested;
}

int standin_write_port(const char *path, uint16_t port)
{
	char temporary[PATH_SIZE];
	FILE *f;

	if (!path[0])
		return 0;
	snprintf(temporary, sizeof(temporary), "%s.part", path);
	f = fopen(temporary, "w");
	if (!f)
		return -errno;
	fprintf(f, "%u\n", port);
	if (fclose(f) || rename(temporary, path))
		return -errno;
	return 0;
}
