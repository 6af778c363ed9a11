package watch

import (
	"github.com/pkg/errors"
)

func asRefusal(err error, target any) bool { return errors.As(err, target) }
