/* SPDX-License-Identifier: BSD-3-Clause */
/* Clocks of the programs; the library is given their values. */
#ifndef BAYHOIST_SHARE_CLOCK_H
#define BAYHOIST_SHARE_CLOCK_H

#include <stdint.h>

uint64_t clock_now_us(void);
uint64_t clock_wall_us(void);
uint64_t clock_new_boot_id(void);

#endif
