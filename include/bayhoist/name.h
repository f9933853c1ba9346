/* SPDX-License-Identifier: BSD-3-Clause */
/* Names and ids from outside in a place of fixed size. */
#ifndef BAYHOIST_NAME_H
#define BAYHOIST_NAME_H

#include <stddef.h>
#include "bayhoist/types.h"

#define BH__FIT_SIZE_MIN 40 /* bytes of the smallest place, with the terminating NUL */

bool bh__text_copy(char *out, size_t size, const char *text);
void bh__text_fit(char *out, size_t size, const char *text);
void bh__name_fit(char out[BH__NAME_LEN], const char *name);

#endif
