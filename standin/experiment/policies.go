package main

import "context"

type policies struct{ common }

func (*policies) run(context.Context) error { return nil }
