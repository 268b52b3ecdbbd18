# Versions of the tools that are built by the Makefile and not part of the product.

gofumpt_version := v0.12.0
golangci_lint_version := v2.15.0
