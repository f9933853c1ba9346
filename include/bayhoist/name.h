/* SPDX-License-Identifier: BSD-3-Clause */
/* Names from outside in a place of fixed size. */
#ifndef BAYHOIST_NAME_H
#define BAYHOIST_NAME_H

#include "bayhoist/types.h"

void bh__name_fit(char out[BH__NAME_LEN], const char *name);

#endif
