package main

import "C" // for the external linker: the platform runs programs linked against its C library
