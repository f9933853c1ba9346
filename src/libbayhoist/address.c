/* SPDX-License-Identifier: BSD-3-Clause */
/* Addresses as text, "IP:port". */
#include "bayhoist/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include "bayhoist/field.h"

/* Splits an address at its last colon. Returns false if no port from 1 to 65535 follows, in decimal digits
 * and nothing else, or the rest does not fit `ip`. */
bool bh__address_split(const char *address, char *ip, size_t ip_size, uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	const char *end;
	uint64_t n;

	if (!colon || (size_t)(colon - address) >= ip_size || colon[1] < '1' || colon[1] > '9')
		return false;
	n = bh__digits_get_u64(colon + 1, UINT16_MAX + 1, &end);
	if (*end || n > UINT16_MAX)
		return false;
	memcpy(ip, address, (size_t)(colon - address));
	ip[colon - address] = '\0';
	*port = (uint16_t)n;
	return true;
}

/* Returns true if an address is a numeric IPv4 address and a port, so that nothing must be looked up and
 * there is one text for it. 0.0.0.0 is no place to connect to: the system takes it for this machine. */
bool bh__address_is_numeric(const char *address)
{
	char ip[INET_ADDRSTRLEN];
	struct in_addr in;
	uint16_t port;

	return bh__address_split(address, ip, sizeof ip, &port) && inet_pton(AF_INET, ip, &in) == 1 &&
		   in.s_addr != htonl(INADDR_ANY);
}
