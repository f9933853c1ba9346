/* SPDX-License-Identifier: BSD-3-Clause */
/* Clocks of the programs. */
#include "clock.h"

#include <openssl/rand.h>
#include <stdlib.h>
#include <time.h>

#define BOOT_RANDOM_BITS 20

/* Returns time since the machine booted, sleep included, so that a lease's margin also covers a suspension.
 */
uint64_t clock_now_us(void)
{
	struct timespec t;
	clock_gettime(CLOCK_BOOTTIME, &t);
	return (uint64_t)t.tv_sec * 1000000 + (uint64_t)t.tv_nsec / 1000;
}

/* Returns the time of day; for logs and the order of boot ids only. */
uint64_t clock_wall_us(void)
{
	struct timespec t;
	clock_gettime(CLOCK_REALTIME, &t);
	return (uint64_t)t.tv_sec * 1000000 + (uint64_t)t.tv_nsec / 1000;
}

/* Returns an id for this life of the process: later lives have larger ids, as far as the clock is right, and
 * no two have the same, whatever the clock. */
uint64_t clock_new_boot_id(void)
{
	uint32_t random;

	if (RAND_bytes((unsigned char *)&random, sizeof random) != 1)
		abort();
	return (clock_wall_us() / 1000) << BOOT_RANDOM_BITS | (random & ((1u << BOOT_RANDOM_BITS) - 1));
}
