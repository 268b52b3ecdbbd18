package main

import "C" // forces external linking, because the platform requires programs linked against its C library
