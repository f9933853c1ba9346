/* SPDX-License-Identifier: BSD-3-Clause */
/* Addresses as text, "IP:port". */
#ifndef BAYHOIST_ADDRESS_H
#define BAYHOIST_ADDRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

bool bh__address_split(const char *address, char *ip, size_t ip_size, uint16_t *port);
bool bh__address_is_numeric(const char *address);

#endif
