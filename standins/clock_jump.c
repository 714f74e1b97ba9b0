#define _GNU_SOURCE

#include <fcntl.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

/*
 * Preloaded into a program, sets its wall clock off by the milliseconds that
 * the file CLOCK_JUMP_FILE holds. Its other clocks are not changed.
 */

#define TEXT_SIZE 32
#define MS_PER_S 1000
#define NS_PER_MS 1000000

static long long read_offset_ms(void)
{
	const char *path = getenv("CLOCK_JUMP_FILE");
	char text[TEXT_SIZE] = "";
	ssize_t n;
	int fd;

	if (!path)
		return 0;
	fd = open(path, O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return 0;
	n = read(fd, text, sizeof(text) - 1);
	close(fd);
	return n > 0 ? strtoll(text, NULL, 10) : 0;
}

int clock_gettime(clockid_t id, struct timespec *out)
{
	int err = (int)syscall(SYS_clock_gettime, id, out);
	long long ms;

	if (err || id != CLOCK_REALTIME)
		return err;
	ms = (long long)out->tv_sec * MS_PER_S + out->tv_nsec / NS_PER_MS +
	     read_offset_ms();
	out->tv_sec = (time_t)(ms / MS_PER_S);
	out->tv_nsec = ms % MS_PER_S * NS_PER_MS;
	return 0;
}
