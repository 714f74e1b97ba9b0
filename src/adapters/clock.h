#ifndef ADAPTERS_CLOCK_H
#define ADAPTERS_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * clock_mono_ms() - read the monotonic clock, in milliseconds
 */
int64_t clock_mono_ms(void);

/**
 * clock_boot_ms() - read the boot-time clock, in milliseconds
 *
 * It is monotonic and also advances while the machine is suspended.
 */
int64_t clock_boot_ms(void);

/**
 * clock_wall_ms() - read the wall clock, in milliseconds since 1970
 */
int64_t clock_wall_ms(void);

#ifdef __cplusplus
}
#endif

#endif
