#include "adapters/clock.h"

#include <time.h>

static int64_t read_ms(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t clock_mono_ms(void)
{
	return read_ms(CLOCK_MONOTONIC);
}

int64_t clock_boot_ms(void)
{
	return read_ms(CLOCK_BOOTTIME);
}

int64_t clock_wall_ms(void)
{
	return read_ms(CLOCK_REALTIME);
}
