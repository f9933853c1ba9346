/* SPDX-License-Identifier: BSD-3-Clause */
/* Reading a daemon's command line. */
#include "daemon_options.h"

#include <getopt.h>
#include <stdio.h>
#include <sysexits.h>
#include "version.h"

/* Reads the command line. Returns false if the program is to exit with `status` instead of going on; what is
 * to be said has been said then. */
bool daemon_options_read(DaemonOptions *o, const DaemonProgram *p, int argc, char **argv, int *status)
{
	static const struct option Options[] = {{"config", required_argument, NULL, 'c'},
											{"check", no_argument, NULL, 'k'},
											{"help", no_argument, NULL, 'h'},
											{"version", no_argument, NULL, 'V'},
											{NULL, 0, NULL, 0}};
	int option;

	*o = (DaemonOptions){0};
	*status = EX_OK;
	while ((option = getopt_long(argc, argv, "c:hV", Options, NULL)) != -1) {
		switch (option) {
		case 'c':
			o->settings_path = optarg;
			break;
		case 'k':
			o->check = true;
			break;
		case 'h':
			fputs(p->usage, stdout);
			return false;
		case 'V':
			printf("%s " BAYHOIST_VERSION "\n", p->program);
			return false;
		default:
			*status = EX_USAGE;
			fputs(p->usage, stderr);
			return false;
		}
	}
	if (o->settings_path && optind == argc)
		return true;
	*status = EX_USAGE;
	fputs(p->usage, stderr);
	return false;
}
